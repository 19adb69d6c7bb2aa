import type { Result } from '@buckthornslip/common';
import type { Observable } from 'rxjs';

import type { StoreEntry } from './StoreEntry';
import type { StoreEra } from './StoreEra';
import type { StoreError } from './StoreError';
import type { StoreEvent } from './StoreEvent';
import type { StoreLease } from './StoreLease';
import type { StoreLeaseId } from './StoreLeaseId';
import type { StoreListing } from './StoreListing';
import type { StoreListOptions } from './StoreListOptions';
import type { StoreRevision } from './StoreRevision';
import type { StoreWatchOptions } from './StoreWatchOptions';

/**
 * The platform's key-value store. The promises never reject; failures are results.
 *
 * @public
 */
export interface Store {
  /** @returns The entry, or undefined if the key is absent. */
  readonly get: (key: string) => Promise<Result<StoreEntry | undefined, StoreError>>;

  /**
   * @param prefix - Prefix of the keys.
   * @param options - Whether an older state is good enough.
   * @returns All entries whose key starts with the prefix, sorted by key.
   */
  readonly list: (
    prefix: string,
    options?: StoreListOptions,
  ) => Promise<Result<StoreListing, StoreError>>;

  /**
   * Writes a key if it is at the expected revision.
   *
   * @param key - The key.
   * @param expectedRevision - Revision of the entry that was read; 0 if the key must be absent.
   * @param value - At most {@link MAXIMUM_VALUE_BYTES}.
   * @param leaseId - Store lease with which the key is removed when the lease ends.
   * @param era - Era of the expected revision and of the lease; by default, that of the store at present. In another one the
   *   write fails as a conflict.
   * @returns The revision of the new entry.
   */
  readonly compareAndSwap: (
    key: string,
    expectedRevision: number,
    value: Uint8Array,
    leaseId?: StoreLeaseId,
    era?: StoreEra,
  ) => Promise<Result<StoreRevision, StoreError>>;

  /**
   * Removes a key if it is at the expected revision.
   *
   * @param key - The key.
   * @param expectedRevision - Revision of the entry that was read.
   * @param era - Era of the expected revision, as for a write.
   * @returns The revision of the removal.
   */
  readonly remove: (
    key: string,
    expectedRevision: number,
    era?: StoreEra,
  ) => Promise<Result<StoreRevision, StoreError>>;

  /**
   * Reports changes of keys with a prefix in order and at least once. It reconnects automatically until it
   * is unsubscribed or the store is closed.
   *
   * @param prefix - Prefix of the keys.
   * @param fromRevision - First revision to report; 0 reports changes from now on.
   * @param options - When the store confirms that there is no change.
   */
  readonly watch: (
    prefix: string,
    fromRevision: number,
    options?: StoreWatchOptions,
  ) => Observable<StoreEvent>;

  /** @param timeToLiveMilliseconds - Rounded up to whole seconds with the etcd protocol. */
  readonly grantLease: (timeToLiveMilliseconds: number) => Promise<Result<StoreLease, StoreError>>;

  /**
   * @param leaseId - The lease.
   * @param era - Era of the lease. In another one the lease is not found.
   * @returns The renewed time to live of the lease, in milliseconds.
   */
  readonly keepAlive: (
    leaseId: StoreLeaseId,
    era?: StoreEra,
  ) => Promise<Result<number, StoreError>>;

  /**
   * Ends a lease and removes its keys.
   *
   * @param leaseId - The lease.
   * @param era - Era of the lease. In another one the lease is not found.
   */
  readonly revokeLease: (
    leaseId: StoreLeaseId,
    era?: StoreEra,
  ) => Promise<Result<void, StoreError>>;

  /** @returns The highest era of the store that it has stated to this client; 0 if it has stated none. */
  readonly era: () => StoreEra;

  /** Ends all watches and connections. */
  readonly close: () => void;
}
