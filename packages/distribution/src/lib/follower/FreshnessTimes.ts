import type { RegionId } from '@buckthornslip/common';

/**
 * What is known about how new a revision is. All times are readings of this node's monotonic clock, in milliseconds.
 *
 * @internal
 */
export interface FreshnessTimes {
  /** Revision that the times below are about. */
  readonly revision: number;
  /** Time at which the store had no newer revision; undefined if not known. */
  readonly confirmedAt: number | undefined;
  /** Times up to which all that the contacts of a region knew is contained in the revision. */
  readonly syncedAt: ReadonlyMap<RegionId, number>;
}
