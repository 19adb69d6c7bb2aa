import type { RandomSource } from '@buckthornslip/common';

import type { RouterSettings } from '../choice/RouterSettings';
import type { Locality } from './Locality';
import { localityUtilization } from './localityUtilization';

/**
 * Returns the order in which the localities are tried for one call, nearest first. If a locality is above its spillover
 * threshold and one further away is less utilized, it is tried last for a share of the calls that grows with its
 * utilization. The remaining calls still go to it, which also keeps its load reports recent.
 *
 * @param localities - Own zone, own region and other regions.
 * @param now - Monotonic time, in milliseconds.
 * @param random - Selects the calls that spill over.
 * @param settings - Holds the spillover thresholds.
 * @returns Indexes of the localities, in order of preference.
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
    const canSpillOver = Number.isFinite(utilization) && utilization > threshold && hasBetter;
    const spillsOver = canSpillOver && random.next() < (utilization - threshold) / utilization;
    (spillsOver ? postponed : first).push(index);
  });
  return [...first, ...postponed];
}
