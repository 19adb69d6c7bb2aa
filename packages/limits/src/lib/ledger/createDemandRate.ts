import type { Clock } from '@buckthornslip/common';

/** Time constant of the exponential moving average, in milliseconds. */
const TIME_CONSTANT_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Moving average of the request rate. */
export interface DemandRate {
  readonly record: () => void;
  /** @returns Requests per second. */
  readonly perSecond: () => number;
}

/**
 * @param clock - Source of monotonic time.
 * @returns A rate of zero.
 * @internal
 */
export function createDemandRate(clock: Clock): DemandRate {
  let rate = 0;
  let updatedMilliseconds = clock.monotonicMilliseconds();
  return {
    record: () => {
      const now = clock.monotonicMilliseconds();
      const decay = Math.exp((updatedMilliseconds - now) / TIME_CONSTANT_MILLISECONDS);
      rate = rate * decay + MILLISECONDS_PER_SECOND / TIME_CONSTANT_MILLISECONDS;
      updatedMilliseconds = now;
    },
    perSecond: () => rate,
  };
}
