import type { RandomSource } from '@buckthornslip/common';

import type { RouterSettings } from '../choice/RouterSettings';
import type { Locality } from './Locality';
import { localityUtilization } from './localityUtilization';

/**
 * Order in which the localities are tried for one call: near ones first. A saturated locality is put behind
 * the next one for a part of the calls that grows with its utilization, if the next one is less loaded.
 * The rest still goes to it, which also keeps its load reports recent.
 *
 * @param localities - Own zone, own region and other regions.
 * @param now - Monotonic time, in milliseconds.
 * @param random - Decides which calls move.
 * @param settings - Thresholds.
 * @returns Indexes of the localities.
 * @internal
 */
export function localityOrder(
  localities: readonly Locality[],
  now: number,
  random: RandomSource,
  settings: RouterSettings,
): readonly number[] {
  const thresholds = [settings.zoneSpilloverThreshold, settings.regionSpilloverThreshold];
  const utilizations = localities.map((locality) => localityUtilization(locality, now, settings));
  const first: number[] = [];
  const postponed: number[] = [];
  utilizations.forEach((utilization, index) => {
    const threshold = thresholds[index] ?? Infinity;
    const hasBetter = utilizations.slice(index + 1).some((further) => further < utilization);
    const isFull = Number.isFinite(utilization) && utilization > threshold && hasBetter;
    const moves = isFull && random.next() < (utilization - threshold) / utilization;
    (moves ? postponed : first).push(index);
  });
  return [...first, ...postponed];
}
