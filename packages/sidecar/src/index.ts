/**
 * Sidecar of one upstream on a platform that provides a key-value store: call entry, call serving, member directory and
 * account rate limits.
 *
 * @packageDocumentation
 */

export type { ResponseHead } from './lib/protocol/ResponseHead';
export type { HealthHead } from './lib/protocol/HealthHead';
export type { CallProtocol } from './lib/protocol/CallProtocol';
export type { RequestHead } from './lib/protocol/RequestHead';
export type { UpstreamHeaders } from './lib/protocol/UpstreamHeaders';
export type { PolicyError } from './lib/policy/createPolicyWatcher';
export type { DecodedPolicy } from './lib/policy/DecodedPolicy';
export type { PolicyFault } from './lib/policy/PolicyFault';
export { createSidecar } from './lib/process/createSidecar';
export type { Sidecar } from './lib/process/Sidecar';
export type { SidecarOptions } from './lib/process/SidecarOptions';
export type { SidecarMetrics } from './lib/process/createSidecarMetrics';
export type { UpstreamInstance } from './lib/serving/UpstreamInstance';
export type { UpstreamRegistry, UpstreamView } from './lib/serving/UpstreamRegistry';
export { isAddress } from './lib/directory/isAddress';
export { isCount } from './lib/directory/isCount';
export { recordLimits } from './lib/directory/recordLimits';
export { createConnectionPool } from './lib/http/createConnectionPool';
export { exchange } from './lib/http/exchange';
export type { ExchangeFailure, ExchangeResult } from './lib/http/ExchangeResult';
export { listenAt } from './lib/http/listenAt';
export type { ConnectionLimits, ListenerLimits } from './lib/http/connections/ConnectionLimits';
export { connectionLimitsFor } from './lib/http/connections/connectionLimitsFor';
export { defaultConnectionLimits } from './lib/http/connections/defaultConnectionLimits';
export { guardConnections } from './lib/http/connections/guardConnections';
