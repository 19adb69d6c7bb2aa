import type { AccountId, RegionId } from '@buckthornslip/common';

import type { SplitMove } from './planMoves';
import type { AccountSplit, SplitRecord } from './SplitRecord';

/**
 * What the keeper of a split record needs of the share holder of its partition.
 *
 * @internal
 */
export interface SplitHost {
  readonly region: RegionId;
  readonly epoch: number;
  /** @returns Whether the lease is held now. */
  readonly isHolder: () => boolean;
  /** Uses a record that is confirmed in the store. */
  readonly useRecord: (record: SplitRecord, created: ReadonlySet<AccountId>) => void;
  /** @returns Splits of accounts of the group that the record lacks. */
  readonly missingSplits: (record: SplitRecord) => ReadonlyMap<AccountId, AccountSplit>;
  /** @returns This region's demand where it differs much from what the record says, in millionths. */
  readonly changedDemand: (record: SplitRecord) => ReadonlyMap<AccountId, number>;
  /** Lowers the parts to be given away, and returns the moves whose tokens are all back. */
  readonly debit: (record: SplitRecord) => ReadonlyMap<AccountId, SplitMove>;
}
