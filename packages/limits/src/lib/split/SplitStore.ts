import type { Result } from '@buckthornslip/common';

/**
 * Failure of a store operation. After "unavailable" or "timeout" a write may have taken effect or may
 * still take effect later.
 *
 * @public
 */
export type SplitStoreError =
  { readonly kind: 'unavailable' } | { readonly kind: 'timeout' } | { readonly kind: 'conflict' };

/**
 * Operations of the platform's store that split records need.
 *
 * @public
 */
export interface SplitStore {
  /** Reads a key. The response reflects every write that completed before. */
  readonly get: (
    key: string,
  ) => Promise<
    Result<{ readonly value: string; readonly revision: number } | undefined, SplitStoreError>
  >;
  /**
   * Replaces a value if its revision is the expected one.
   *
   * @param key - The key.
   * @param expectedRevision - Revision of the value to replace; 0 if the key must be absent.
   * @param value - The new value.
   * @returns The new revision.
   */
  readonly compareAndSwap: (
    key: string,
    expectedRevision: number,
    value: string,
  ) => Promise<Result<number, SplitStoreError>>;
}
