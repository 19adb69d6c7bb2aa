import type { EngineEntry } from './EngineEntry';

/**
 * State of the in-memory store at one revision.
 *
 * @public
 */
export interface StoreBackup {
  readonly entries: readonly EngineEntry[];
  readonly revision: number;
  /** Time to live of each lease in milliseconds, by lease id. */
  /** Id of the last lease that the store chose itself. */
  readonly lastLeaseId: number;
  readonly leases: ReadonlyMap<number, number>;
}
