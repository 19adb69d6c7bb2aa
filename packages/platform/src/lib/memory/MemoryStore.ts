import type { Store } from '../store/Store';
import type { StoreBackup } from './StoreBackup';
import type { StoreCallCounts } from './StoreCallCounts';
import type { StoreFaults } from './StoreFaults';

/**
 * An in-memory store with fault injection, for tests.
 *
 * @public
 */
export interface MemoryStore extends Store {
  readonly faults: StoreFaults;
  readonly calls: Readonly<StoreCallCounts>;

  /** Drops the history up to and including a revision, so that watches from an earlier revision are relisted. */
  readonly compact: (revision: number) => void;

  readonly backUp: () => StoreBackup;

  /** Replaces the contents by those of a backup, and raises the era. Watches are interrupted, and relisted afterwards. */
  readonly restore: (backup: StoreBackup) => void;
}
