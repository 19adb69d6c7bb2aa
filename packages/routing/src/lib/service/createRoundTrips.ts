import { LOCALITY_COUNT } from './localityIndex';

/**
 * Share by which a larger sample raises the estimate. Samples include time in the queue, so the estimate follows the
 * smallest ones.
 */
const RISE_SHARE = 0.01;

/**
 * Network time of attempts by locality.
 *
 * @internal
 */
export interface RoundTrips {
  /** @param milliseconds - Time of an attempt without the service time. */
  readonly add: (locality: number, milliseconds: number) => void;
  /** @returns Round-trip time in milliseconds; 0 without samples. */
  readonly milliseconds: (locality: number) => number;
}

/**
 * @returns Round-trip times without samples.
 * @internal
 */
export function createRoundTrips(): RoundTrips {
  const estimates = new Float64Array(LOCALITY_COUNT).fill(-1);
  return {
    add: (locality, milliseconds) => {
      const estimate = estimates[locality]!;
      const sample = Math.max(0, milliseconds);
      const isFirst = estimate < 0;
      estimates[locality] =
        isFirst || sample < estimate ? sample : estimate + (sample - estimate) * RISE_SHARE;
    },
    milliseconds: (locality) => Math.max(0, estimates[locality]!),
  };
}
