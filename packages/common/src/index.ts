/**
 * Building blocks for all packages: time, ids, results, reason catalogues and random numbers.
 *
 * @packageDocumentation
 */

export type { Clock } from './lib/clock/Clock';
export type { FakeClock } from './lib/clock/FakeClock';
export { createFakeClock } from './lib/clock/createFakeClock';
export { createSystemClock } from './lib/clock/createSystemClock';
export type { BinaryHeap } from './lib/collections/BinaryHeap';
export { createBinaryHeap } from './lib/collections/createBinaryHeap';
export type { ByteCollector } from './lib/collections/createByteCollector';
export { createByteCollector } from './lib/collections/createByteCollector';
export type { AccountId } from './lib/ids/AccountId';
export type { AttemptId } from './lib/ids/AttemptId';
export type { Brand } from './lib/ids/Brand';
export type { CallId } from './lib/ids/CallId';
export type { HostId } from './lib/ids/HostId';
export type { Incarnation } from './lib/ids/Incarnation';
export type { KeyId } from './lib/ids/KeyId';
export type { NodeIdentity } from './lib/ids/NodeIdentity';
export type { PartitionId } from './lib/ids/PartitionId';
export type { Priority } from './lib/ids/Priority';
export type { RegionId } from './lib/ids/RegionId';
export type { RootCallId } from './lib/ids/RootCallId';
export type { ServiceId } from './lib/ids/ServiceId';
export type { UpstreamId } from './lib/ids/UpstreamId';
export type { ZoneId } from './lib/ids/ZoneId';
export { isSameNode } from './lib/ids/isSameNode';
export { priorityRank } from './lib/ids/priorityRank';
export type { RandomSource } from './lib/random/RandomSource';
export { createSeededRandom } from './lib/random/createSeededRandom';
export type { TokenBucket } from './lib/rate/TokenBucket';
export type { TokenRate } from './lib/rate/TokenRate';
export { createTokenBucket } from './lib/rate/createTokenBucket';
export type { Outcome } from './lib/reasons/Outcome';
export type { RefusalReason } from './lib/reasons/RefusalReason';
export type { RetryReason } from './lib/reasons/RetryReason';
export { refusalCatalogue } from './lib/reasons/refusalCatalogue';
export { retryCatalogue } from './lib/reasons/retryCatalogue';
export type { Result } from './lib/result/Result';
export { failure } from './lib/result/failure';
export { success } from './lib/result/success';
export { createUuid } from './lib/ids/createUuid';
export { uuidTimeMilliseconds } from './lib/ids/uuidTimeMilliseconds';
