import type { RegionId } from '@buckthornslip/common';

import type { FreshnessTimes } from './FreshnessTimes';

function later(left: number | undefined, right: number | undefined): number | undefined {
  if (left === undefined) return right;
  return right === undefined ? left : Math.max(left, right);
}

/**
 * @param left - Freshness times.
 * @param right - Other freshness times.
 * @returns The later of the times, with the higher of the two revisions.
 * @internal
 */
export function mergeFreshnessTimes(left: FreshnessTimes, right: FreshnessTimes): FreshnessTimes {
  const syncedAt = new Map<RegionId, number>(left.syncedAt);
  right.syncedAt.forEach((time, region) => {
    syncedAt.set(region, Math.max(syncedAt.get(region) ?? -Infinity, time));
  });
  return {
    revision: Math.max(left.revision, right.revision),
    confirmedAt: later(left.confirmedAt, right.confirmedAt),
    syncedAt,
  };
}
