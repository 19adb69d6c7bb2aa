import type { Clock, RandomSource } from '@buckthornslip/common';

/** Time after which the results of a window are judged, in milliseconds. */
const MIN_WINDOW_MILLISECONDS = 250;

/** Results after which a window is judged as soon as it is over. */
const MIN_RESULTS = 10;

/** Time after which a window is judged with fewer results, in milliseconds: a kind may have few calls at one node. */
const MAX_WINDOW_MILLISECONDS = 1_000;

/** Failures without which the share is not reduced. */
const MIN_FAILURES = 3;

/** Share of successes below which fewer calls are started: so much work in vain is worse than fewer calls. */
const LOW_SUCCESS_RATIO = 0.75;

/** Share of successes from which more calls are started. */
const HIGH_SUCCESS_RATIO = 0.88;

/** Smallest factor of one reduction. */
const MIN_REDUCTION_FACTOR = 0.5;

/** Calls that are started for each one that succeeded, after a reduction. */
const HEADROOM_FACTOR = 1.15;

/** Growth of the share in one good window. */
const GROWTH_FACTOR = 1.3;
const GROWTH_STEP = 0.05;

/** Share of the calls of a kind that is always let through, so that a recovery is noticed. */
const MIN_SHARE = 0.1;

/** A call that was let through. */
export interface StartedCall {
  /** Notes how the call ended; a call that its caller gave up is not noted. */
  readonly finish: (isSuccess: boolean) => void;
}

/**
 * Holds back calls at the entry that the services behind would not finish.
 *
 * @internal
 */
export interface RouteThrottle {
  /**
   * @param kind - Calls of one kind succeed and fail together: those of one route and level.
   * @returns The call, or undefined if it should not be started now.
   */
  readonly tryStart: (requestClass: string) => StartedCall | undefined;
}

/** Share of the calls of one kind that is let through. */
interface ClassThrottle {
  readonly tryStart: () => StartedCall | undefined;
}

function createClassThrottle(clock: Clock, random: RandomSource): ClassThrottle {
  let share = 1;
  let epoch = 0;
  let results = 0;
  let successes = 0;
  let windowStart = clock.monotonicMilliseconds();

  const startWindow = (): void => {
    results = 0;
    successes = 0;
    windowStart = clock.monotonicMilliseconds();
  };

  const evaluate = (): void => {
    const successRatio = results === 0 ? 1 : successes / results;
    if (successRatio < LOW_SUCCESS_RATIO && results - successes >= MIN_FAILURES) {
      share = Math.max(
        MIN_SHARE,
        share * Math.max(MIN_REDUCTION_FACTOR, successRatio * HEADROOM_FACTOR),
      );
      // Calls that were started at the larger share say nothing about the smaller one.
      epoch += 1;
    } else if (successRatio >= HIGH_SUCCESS_RATIO)
      share = Math.min(1, share * GROWTH_FACTOR + GROWTH_STEP);
    startWindow();
  };

  const evaluateIfOver = (): void => {
    const elapsed = clock.monotonicMilliseconds() - windowStart;
    const isFull = elapsed >= MIN_WINDOW_MILLISECONDS && results >= MIN_RESULTS;
    if (isFull || elapsed >= MAX_WINDOW_MILLISECONDS) evaluate();
  };

  const finish = (startedEpoch: number, isSuccess: boolean): void => {
    if (startedEpoch !== epoch) return;
    results += 1;
    if (isSuccess) successes += 1;
    evaluateIfOver();
  };

  return {
    tryStart: () => {
      evaluateIfOver();
      if (share < 1 && random.next() >= share) return undefined;
      const startedEpoch = epoch;
      return { finish: (isSuccess) => finish(startedEpoch, isSuccess) };
    },
  };
}

/**
 * Creates the throttle of an entry node. It answers to overload deep in a call graph: a call runs at several services and
 * fails if one of them refuses a part of it, after the others have done their work in vain. The entry sees only that calls
 * of a kind fail, and starts fewer of them until most succeed. It needs no message and follows demand and capacity within
 * seconds.
 *
 * @param clock - Source of monotonic time.
 * @param random - Source of random numbers.
 * @returns A throttle that holds nothing back.
 * @internal
 */
export function createRouteThrottle(clock: Clock, random: RandomSource): RouteThrottle {
  const throttles = new Map<string, ClassThrottle>();
  return {
    tryStart: (requestClass) => {
      const throttle = throttles.get(requestClass) ?? createClassThrottle(clock, random);
      throttles.set(requestClass, throttle);
      return throttle.tryStart();
    },
  };
}
