import type { AccountId, RegionId } from '@buckthornslip/common';

/**
 * Division of one account's rate and burst among the regions, in millionths, so that the parts add up exactly.
 *
 * @internal
 */
export interface AccountSplit {
  readonly parts: ReadonlyMap<RegionId, number>;
  /** Demand of each region in millionths of the rate, as last published by its token server. */
  readonly wants: ReadonlyMap<RegionId, number>;
}

/**
 * Stored record of one group: the division of its accounts among the regions.
 *
 * @internal
 */
export interface SplitRecord {
  /**
   * Lease epoch of the token server that last claimed each region's parts. A claim fences earlier
   * epochs.
   */
  readonly epochs: ReadonlyMap<RegionId, number>;
  readonly accounts: ReadonlyMap<AccountId, AccountSplit>;
}
