/** Time constant of the exponential moving average, in milliseconds. */
const TIME_CONSTANT_MILLISECONDS = 1_000;

/**
 * Moving average of the call rate of one account at one entry node.
 *
 * @internal
 */
export interface DemandEstimate {
  readonly record: () => void;
  readonly perSecond: () => number;
}

/**
 * @param now - Monotonic time in milliseconds.
 * @returns An estimate of zero.
 * @internal
 */
export function createDemandEstimate(now: () => number): DemandEstimate {
  let average = 0;
  let updated = now();
  const decay = (): void => {
    const time = now();
    average *= Math.exp(-(time - updated) / TIME_CONSTANT_MILLISECONDS);
    updated = time;
  };
  return {
    record: () => {
      decay();
      average += 1_000 / TIME_CONSTANT_MILLISECONDS;
    },
    perSecond: () => {
      decay();
      return average;
    },
  };
}
