import type { AccountId } from '@buckthornslip/common';

/**
 * A client account as sidecars see it.
 *
 * @public
 */
export interface PolicyAccount {
  readonly id: AccountId;
  /** Importance of the account; goes before the rank of the route. */
  readonly rank: number;
  /** Requests a second over the whole fleet; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Requests that may arrive at once over the whole fleet. */
  readonly burst: number;
}
