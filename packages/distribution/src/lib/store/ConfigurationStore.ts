import type { Result } from '@buckthornslip/common';
import type { Observable } from 'rxjs';

import type { ConfigurationStoreError } from './ConfigurationStoreError';
import type { StoredValue } from './StoredValue';

/**
 * The operations of the platform's store that the publisher and the follower use.
 *
 * @public
 */
export interface ConfigurationStore {
  readonly get: (key: string) => Promise<Result<StoredValue | undefined, ConfigurationStoreError>>;

  readonly list: (
    prefix: string,
  ) => Promise<Result<readonly StoredValue[], ConfigurationStoreError>>;

  /**
   * @param expectedRevision - Current revision of the key; 0 if the key must not exist.
   * @returns The new revision of the key.
   */
  readonly compareAndSwap: (
    key: string,
    expectedRevision: number,
    value: Uint8Array,
  ) => Promise<Result<number, ConfigurationStoreError>>;

  readonly remove: (
    key: string,
    expectedRevision: number,
  ) => Promise<Result<unknown, ConfigurationStoreError>>;

  /** Emits after each change of a key with the prefix. Fails with an error if the watch is lost. */
  readonly watch: (
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ) => Observable<unknown>;
}
