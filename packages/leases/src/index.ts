/**
 * Leases of partitions: a single holder at a time, with epochs (fencing tokens), candidates and takeover.
 *
 * @packageDocumentation
 */

export { createLeaseManager } from './lib/manager/createLeaseManager';
export type { HeldLease } from './lib/manager/HeldLease';
export type { LeaseError } from './lib/manager/LeaseError';
export type { LeaseLocation } from './lib/manager/LeaseLocation';
export type { LeaseManager } from './lib/manager/LeaseManager';
export type { LeaseManagerOptions } from './lib/manager/LeaseManagerOptions';
export type { LeaseRecord } from './lib/manager/LeaseRecord';
export type { RunningLeaseManager } from './lib/manager/RunningLeaseManager';
export type { LeaseMember } from './lib/node/LeaseMember';
export type { LeaseNode } from './lib/node/LeaseNode';
export { createLeasePeersClient } from './lib/peers/createLeasePeersClient';
export { createLeaseService } from './lib/peers/createLeaseService';
export type { ExtensionAnswer } from './lib/peers/ExtensionAnswer';
export type { ExtensionRequest } from './lib/peers/ExtensionRequest';
export type { LeasePeers } from './lib/peers/LeasePeers';
export type { LeaseResponder } from './lib/peers/LeaseResponder';
export { rankMembers } from './lib/selection/rankMembers';
export { defaultLeaseTiming } from './lib/timing/defaultLeaseTiming';
export type { LeaseTiming } from './lib/timing/LeaseTiming';
