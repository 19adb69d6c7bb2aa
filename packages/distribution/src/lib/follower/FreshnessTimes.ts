import type { RegionId } from '@buckthornslip/common';

/**
 * Times up to which a revision is known to be the newest, on this node's monotonic clock, in milliseconds.
 *
 * @internal
 */
export interface FreshnessTimes {
  /** Revision that the times refer to. */
  readonly revision: number;
  /** Time at which the store had no newer revision; undefined if unknown. */
  readonly confirmedAt: number | undefined;
  /** For each region, the time up to which the revision includes everything that the region's contacts knew. */
  readonly syncedAt: ReadonlyMap<RegionId, number>;
}
