/**
 * Test doubles and tools for tests, demonstrations and benchmarks: stub upstreams, test nodes, a load generator and a
 * fault-injecting TCP proxy.
 *
 * @packageDocumentation
 */

export type { LoadGeneratorOptions } from './lib/caller/LoadGeneratorOptions';
export type { LoadGenerator } from './lib/caller/createLoadGenerator';
export { createLoadGenerator } from './lib/caller/createLoadGenerator';
export type { LoadSummary } from './lib/caller/LoadSummary';
export { reservePorts } from './lib/http/reservePorts';
export type { ReceivedResponse, SentRequest } from './lib/http/sendRequest';
export { sendRequest } from './lib/http/sendRequest';
export { createStubUpstream } from './lib/upstream/createStubUpstream';
export type { UpstreamCounters } from './lib/upstream/UpstreamCounters';
export type { UpstreamFaults } from './lib/upstream/UpstreamFaults';
export type { UpstreamOptions } from './lib/upstream/UpstreamOptions';
export type { StubUpstream } from './lib/upstream/StubUpstream';
export { isKnownRed } from './lib/knownRed/isKnownRed';
export type { TestNodeOptions } from './lib/node/createTestNode';
export { createTestNode } from './lib/node/createTestNode';
export type { NodeStep } from './lib/node/observeSteps';
export { createSharedFleetState } from './lib/node/createSharedFleetState';
export { createTestManifest } from './lib/node/createTestManifest';
export type { TestNode } from './lib/node/TestNode';
export type { SharedFleetState } from './lib/node/SharedFleetState';
export type { TestCluster, TestClusterOptions } from './lib/node/startTestCluster';
export { startTestCluster } from './lib/node/startTestCluster';
export type { ProxyLimits, FaultProxy } from './lib/proxy/createFaultProxy';
export { createFaultProxy } from './lib/proxy/createFaultProxy';
