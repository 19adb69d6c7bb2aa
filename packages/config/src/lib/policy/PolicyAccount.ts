import type { AccountId } from '@buckthornslip/common';

/**
 * A client account in a sidecar's configuration.
 *
 * @public
 */
export interface PolicyAccount {
  readonly id: AccountId;
  /** Priority rank of the account; takes precedence over the rank of the route. */
  readonly rank: number;
  /** Maximum requests per second, over the whole fleet; 0 for no limit. */
  readonly ratePerSecond: number;
  /** Maximum burst of requests, over the whole fleet. */
  readonly burst: number;
}
