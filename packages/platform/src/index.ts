/**
 * The platform's key-value store: interface, etcd client, and in-memory implementations for tests.
 *
 * @packageDocumentation
 */

export { createStoreClient } from './lib/client/createStoreClient';
export { createMemoryStore } from './lib/memory/createMemoryStore';
export { createStoreFaults } from './lib/memory/createStoreFaults';
export type { MemoryStore } from './lib/memory/MemoryStore';
export type { StoreBackup } from './lib/memory/StoreBackup';
export type { StoreCallCounts } from './lib/memory/StoreCallCounts';
export type { StoreFaults } from './lib/memory/StoreFaults';
export { createStoreServer } from './lib/server/createStoreServer';
export type { StoreServer } from './lib/server/StoreServer';
export { MAXIMUM_VALUE_BYTES } from './lib/store/MAXIMUM_VALUE_BYTES';
export { NO_STORE_ERA } from './lib/store/NO_STORE_ERA';
export type { Store } from './lib/store/Store';
export type { StoreEntry } from './lib/store/StoreEntry';
export type { StoreEra } from './lib/store/StoreEra';
export type { StoreError } from './lib/store/StoreError';
export type { StoreEvent } from './lib/store/StoreEvent';
export type { StoreLease } from './lib/store/StoreLease';
export type { StoreLeaseId } from './lib/store/StoreLeaseId';
export type { StoreListOptions } from './lib/store/StoreListOptions';
export type { StoreWatchOptions } from './lib/store/StoreWatchOptions';
export type { StoreListing } from './lib/store/StoreListing';
export type { StoreRevision } from './lib/store/StoreRevision';
