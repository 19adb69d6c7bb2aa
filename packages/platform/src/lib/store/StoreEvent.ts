import type { StoreEntry } from './StoreEntry';
import type { StoreEra } from './StoreEra';
import type { StoreRevision } from './StoreRevision';

/**
 * An event of a watch. `era` is the era of the store to which the revision of the event belongs.
 *
 * @public
 */
export type StoreEvent =
  | { readonly kind: 'put'; readonly entry: StoreEntry; readonly era: StoreEra }
  | {
      readonly kind: 'removed';
      readonly key: string;
      readonly revision: StoreRevision;
      readonly era: StoreEra;
    }
  /** Events were lost to compaction or to a restore of the store; these are all current entries with the prefix. */
  | {
      readonly kind: 'relisted';
      readonly entries: readonly StoreEntry[];
      readonly revision: StoreRevision;
      readonly era: StoreEra;
    }
  /** The store accepted the watch at this revision, or confirmed that all earlier events have been reported. */
  | { readonly kind: 'connected'; readonly revision: StoreRevision; readonly era: StoreEra }
  /** The watch lost its connection; events are delayed until the next `connected`. */
  | { readonly kind: 'disconnected' };
