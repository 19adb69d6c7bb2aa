import type { AccountId, RegionId } from '@buckthornslip/common';

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
  /** Regions whose upstreams may serve the account's requests; undefined for all. */
  readonly allowedRegions: ReadonlySet<RegionId> | undefined;
}
