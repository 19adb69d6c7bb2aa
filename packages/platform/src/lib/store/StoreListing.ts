import type { StoreEntry } from './StoreEntry';
import type { StoreEra } from './StoreEra';
import type { StoreRevision } from './StoreRevision';

/**
 * The entries with a prefix at one revision of the store.
 *
 * @public
 */
export interface StoreListing {
  readonly entries: readonly StoreEntry[];
  /** Revision of the store at the time of the listing; a watch continues from the next one. */
  readonly revision: StoreRevision;
  /** Era of the revision. */
  readonly era: StoreEra;
}
