import type { Clock } from '@buckthornslip/common';

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.05;

/** Half-life of an estimate that gets no new samples, in milliseconds. */
const HALF_LIFE_MILLISECONDS = 1_000;

/**
 * Estimated time that a call takes at the upstream. Without new samples the estimate decays, so that refusals caused by
 * a slow phase end even if no call runs any more.
 *
 * @internal
 */
export interface ServiceTimeEstimate {
  readonly add: (milliseconds: number) => void;
  /** @returns Expected service time in milliseconds; zero without samples. */
  readonly current: () => number;
}

/**
 * @param clock - Source of time.
 * @returns An estimate without samples.
 * @internal
 */
export function createServiceTimeEstimate(clock: Clock): ServiceTimeEstimate {
  const now = clock.monotonicMilliseconds;
  let mean = 0;
  let updated = now();
  const current = (): number => {
    const idle = now() - updated;
    // Gaps of up to two service times are normal, so the estimate decays only after that.
    return idle <= 2 * mean ? mean : mean * 2 ** (-(idle - 2 * mean) / HALF_LIFE_MILLISECONDS);
  };
  return {
    add: (milliseconds) => {
      const earlier = current();
      mean = earlier === 0 ? milliseconds : earlier + (milliseconds - earlier) * SAMPLE_WEIGHT;
      updated = now();
    },
    current,
  };
}
