import type { AccountId, RegionId } from '@buckthornslip/common';

import type { SplitMove } from './planMoves';
import type { AccountSplit, SplitRecord } from './SplitRecord';

/**
 * Token server's side of the synchronization of a split record.
 *
 * @internal
 */
export interface SplitHost {
  readonly region: RegionId;
  readonly epoch: number;
  /** @returns Whether the lease is still held in this epoch. */
  readonly isHolder: () => boolean;
  /**
   * Applies a record that is known to be stored. `created` lists the accounts that this epoch has
   * added.
   */
  readonly useRecord: (record: SplitRecord, created: ReadonlySet<AccountId>) => void;
  /** @returns Initial splits of the group's accounts that are not in the record. */
  readonly missingSplits: (record: SplitRecord) => ReadonlyMap<AccountId, AccountSplit>;
  /**
   * @returns This region's demand by account, in millionths of the rate, where it differs
   *   considerably from the record.
   */
  readonly changedDemand: (record: SplitRecord) => ReadonlyMap<AccountId, number>;
  /**
   * Reduces the parts that are to be moved, and returns the moves whose outstanding tokens fit into
   * the remaining part.
   */
  readonly debit: (record: SplitRecord) => ReadonlyMap<AccountId, SplitMove>;
}
