import type { Result } from '@buckthornslip/common';

import type { ContactStoreError } from './ContactStoreError';

/**
 * The operations of the platform's store that zone contacts need.
 *
 * @public
 */
export interface ContactStore {
  /**
   * @param prefix - Prefix of the keys.
   * @returns The values of all keys with the prefix.
   */
  readonly list: (prefix: string) => Promise<Result<readonly string[], ContactStoreError>>;

  /**
   * Writes a value under a new lease and replaces an earlier value. The store deletes the value when the lease
   * ends.
   *
   * @param key - Key.
   * @param value - Value.
   * @param timeToLiveMilliseconds - Time to live of the lease without renewal, in milliseconds.
   * @returns Id of the lease.
   */
  readonly putUnderLease: (
    key: string,
    value: string,
    timeToLiveMilliseconds: number,
  ) => Promise<Result<string, ContactStoreError>>;

  /**
   * Renews a lease.
   *
   * @param leaseId - Id of the lease.
   * @returns `lease-ended` if the lease has ended and its value was deleted.
   */
  readonly keepAlive: (leaseId: string) => Promise<Result<undefined, ContactStoreError>>;
}
