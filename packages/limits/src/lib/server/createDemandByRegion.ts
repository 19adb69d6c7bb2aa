import type { RegionId } from '@buckthornslip/common';

/**
 * Moving averages of the demand for one account, by region of origin.
 *
 * @internal
 */
export interface DemandByRegion {
  readonly add: (region: RegionId, calls: number) => void;
  /** @returns Calls per second by region. */
  readonly perSecond: () => ReadonlyMap<RegionId, number>;
  /** @returns Whether demand has been observed for long enough to act on it. */
  readonly isReliable: () => boolean;
}

/**
 * @param now - Monotonic time in milliseconds.
 * @param averageMilliseconds - Time constant of the averages.
 * @returns Averages of zero.
 * @internal
 */
export function createDemandByRegion(
  now: () => number,
  averageMilliseconds: number,
): DemandByRegion {
  const started = now();
  let updated = started;
  let averages = new Map<RegionId, number>();

  const decay = (): void => {
    const factor = Math.exp(-(now() - updated) / averageMilliseconds);
    updated = now();
    averages = new Map([...averages].map(([region, value]) => [region, value * factor]));
  };

  return {
    add: (region, calls) => {
      decay();
      const added = (calls * 1_000) / averageMilliseconds;
      averages.set(region, (averages.get(region) ?? 0) + added);
    },
    perSecond: () => {
      decay();
      // Corrects the bias of the average, which starts at zero.
      const observed = 1 - Math.exp(-Math.max(1, now() - started) / averageMilliseconds);
      return new Map([...averages].map(([region, value]) => [region, value / observed]));
    },
    isReliable: () => now() - started >= averageMilliseconds,
  };
}
