import type { Clock, RandomSource } from '@buckthornslip/common';

/** Shortest length of an evaluation window, in milliseconds. */
const MINIMUM_WINDOW_MILLISECONDS = 250;

/** Results that a window needs to be evaluated at its shortest length. */
const MINIMUM_RESULTS = 10;

/**
 * Length at which a window is evaluated with fewer results, in milliseconds: a class may have few calls at one node.
 */
const MAXIMUM_WINDOW_MILLISECONDS = 1_000;

/** Failures that a window needs to reduce the share. */
const MINIMUM_FAILURES = 3;

/** Success ratio below which fewer calls are let through, because so much wasted work costs more than throttling. */
const LOW_SUCCESS_RATIO = 0.75;

/** Success ratio from which more calls are let through. */
const HIGH_SUCCESS_RATIO = 0.88;

/** Lower bound of the factor of one reduction. */
const MINIMUM_REDUCTION_FACTOR = 0.5;

/** Calls let through after a reduction for each call that succeeded before it. */
const HEADROOM_FACTOR = 1.15;

/** Growth of the share per successful window. */
const GROWTH_FACTOR = 1.3;
const GROWTH_STEP = 0.05;

/** Share of the calls of a class that is always let through, so that a recovery is detected. */
const MINIMUM_SHARE = 0.1;

/** A call that was let through. */
export interface StartedCall {
  /** Records how the call ended. Calls cancelled by their callers are not recorded. */
  readonly finish: (isSuccess: boolean) => void;
}

/**
 * Rejects calls at the entry node that the services behind it would probably not complete.
 *
 * @internal
 */
export interface RouteThrottle {
  /**
   * @param requestClass - Calls of one class (same route and rank) are expected to succeed and fail together.
   * @returns The call, or undefined if it is throttled.
   */
  readonly tryStart: (requestClass: string) => StartedCall | undefined;
}

/** Throttle of one request class. */
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
    if (successRatio < LOW_SUCCESS_RATIO && results - successes >= MINIMUM_FAILURES) {
      share = Math.max(
        MINIMUM_SHARE,
        share * Math.max(MINIMUM_REDUCTION_FACTOR, successRatio * HEADROOM_FACTOR),
      );
      // Results of calls that started at the larger share don't count towards the smaller one.
      epoch += 1;
    } else if (successRatio >= HIGH_SUCCESS_RATIO)
      share = Math.min(1, share * GROWTH_FACTOR + GROWTH_STEP);
    startWindow();
  };

  const evaluateIfOver = (): void => {
    const elapsed = clock.monotonicMilliseconds() - windowStart;
    const isFull = elapsed >= MINIMUM_WINDOW_MILLISECONDS && results >= MINIMUM_RESULTS;
    if (isFull || elapsed >= MAXIMUM_WINDOW_MILLISECONDS) evaluate();
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
 * Creates the throttle of an entry node. It handles overload deep in a call graph: a call runs at several services and
 * fails if one of them refuses a nested call, which wastes the work of the others. The entry node observes only that
 * calls of a class fail, and lets fewer of them through until most succeed. It needs no coordination between nodes and
 * follows demand and capacity within seconds.
 *
 * @param clock - Source of monotonic time.
 * @param random - Source of random numbers.
 * @returns A throttle that lets all calls through.
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
