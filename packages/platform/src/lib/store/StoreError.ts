import type { StoreEntry } from './StoreEntry';

/**
 * Why a store operation failed. After `unavailable` or `timeout`, a write may have taken effect or may
 * still take effect, so the writer must read the key again.
 *
 * @public
 */
export type StoreError =
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'timeout' }
  /**
   * The key was not at the expected revision, or the revision is of another era. `current` is the entry of the key, undefined if
   * the key is absent or was not read.
   */
  | { readonly kind: 'conflict'; readonly current: StoreEntry | undefined }
  | { readonly kind: 'value-too-large'; readonly bytes: number; readonly limitBytes: number }
  | { readonly kind: 'lease-not-found' }
  /** The store rejected the request permanently; a retry would fail too. */
  | { readonly kind: 'rejected'; readonly message: string };
