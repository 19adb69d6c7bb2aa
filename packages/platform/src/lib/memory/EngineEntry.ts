import type { StoreEntry } from '../store/StoreEntry';

/**
 * An entry of the storage engine.
 *
 * @internal
 */
export interface EngineEntry extends StoreEntry {
  readonly createRevision: number;
  /** Number of writes since the key was created. */
  readonly version: number;
  /** Zero when the entry has no store lease. */
  readonly leaseId: number;
}
