import type { StoreEntry } from './StoreEntry';
import type { StoreRevision } from './StoreRevision';

/**
 * An event of a watch.
 *
 * @public
 */
export type StoreEvent =
  | { readonly kind: 'put'; readonly entry: StoreEntry }
  | { readonly kind: 'removed'; readonly key: string; readonly revision: StoreRevision }
  /** Events were lost to compaction; these are all current entries with the prefix. */
  | {
      readonly kind: 'relisted';
      readonly entries: readonly StoreEntry[];
      readonly revision: StoreRevision;
    }
  /** The store accepted the watch at this revision, or confirmed that all earlier events have been reported. */
  | { readonly kind: 'connected'; readonly revision: StoreRevision }
  /** The watch lost its connection; events are delayed until the next `connected`. */
  | { readonly kind: 'disconnected' };
