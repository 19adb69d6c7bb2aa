/**
 * The node application, for use by tests and benchmarks in one process.
 *
 * @packageDocumentation
 */

export { createNode } from './lib/process/createNode';
export type { NodeOptions } from './lib/process/NodeOptions';
export type { NodeProcess } from './lib/process/NodeProcess';
export type { FleetHost } from './lib/testing/FleetHost';
export type { HostPlacement } from './lib/testing/HostPlacement';
export type { NodeFleet } from './lib/testing/NodeFleet';
export { startNodeFleet } from './lib/testing/startNodeFleet';
