import type { StoreEra } from './StoreEra';
import type { StoreRevision } from './StoreRevision';

/**
 * A key of the store with its value.
 *
 * @public
 */
export interface StoreEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of the last change of this key. */
  readonly revision: StoreRevision;
  /** Era of the store in which the entry was read, which is the era of its revision. */
  readonly era: StoreEra;
}
