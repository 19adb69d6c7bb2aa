import type { StoreEra } from '../store/StoreEra';
import type { EngineChange } from './EngineChange';
import type { EngineEntry } from './EngineEntry';
import type { EngineMutation } from './EngineMutation';
import type { StoreBackup } from './StoreBackup';

/**
 * In-memory storage engine of the test stores: keys, revisions, leases and watches, without faults or delays.
 *
 * @internal
 */
export interface StoreEngine {
  readonly revision: () => number;

  /** @returns Number of restores so far. */
  readonly era: () => StoreEra;

  readonly backUp: () => StoreBackup;

  /** Replaces the state by an earlier one; its leases last for their whole time again. */
  readonly restore: (backup: StoreBackup) => void;

  /** @returns Entries from `key` to `rangeEnd` (exclusive), or only the entry of `key` if `rangeEnd` is undefined. */
  readonly range: (key: string, rangeEnd?: string) => readonly EngineEntry[];

  /** Applies all mutations at one new revision. Removing an absent key changes nothing. */
  readonly apply: (mutations: readonly EngineMutation[]) => void;

  /** Drops the history up to and including a revision. */
  readonly compact: (revision: number) => void;
  readonly compactedRevision: () => number;

  /**
   * Calls the listener with past and future changes, starting at a revision. The changes of one revision arrive
   * in one call, so that a watch can continue after the last revision received.
   *
   * @returns A function that ends the watch, or undefined if the first revision has been compacted.
   */
  readonly watch: (
    key: string,
    rangeEnd: string | undefined,
    fromRevision: number,
    listener: (changes: readonly EngineChange[]) => void,
  ) => (() => void) | undefined;

  /** @returns The next lease id, in order: a restored store assigns the same ids again, as it does with revisions. */
  readonly nextLeaseId: () => number;
  readonly hasLease: (leaseId: number) => boolean;
  readonly grantLease: (leaseId: number, timeToLiveMilliseconds: number) => void;

  /** @returns The time to live in milliseconds, or undefined if the lease has ended. */
  readonly keepAlive: (leaseId: number) => number | undefined;
  readonly revokeLease: (leaseId: number) => boolean;
}
