import type { Clock, RandomSource } from '@buckthornslip/common';

/** Time after which the results of a window are judged, in milliseconds. */
const WINDOW_MILLISECONDS = 250;

/** Results after which a window is judged as soon as it is over. */
const FEWEST_RESULTS = 10;

/** Time after which a window is judged with fewer results, in milliseconds: a kind may have few calls at one node. */
const LONGEST_WINDOW_MILLISECONDS = 1_000;

/** Failures without which the share is not reduced. */
const FEWEST_FAILURES = 3;

/** Share of successes below which fewer calls are started: so much work in vain is worse than fewer calls. */
const POOR_SHARE = 0.75;

/** Share of successes from which more calls are started. */
const GOOD_SHARE = 0.88;

/** Smallest factor of one reduction. */
const STEEPEST_FACTOR = 0.5;

/** Calls that are started for each one that succeeded, after a reduction. */
const SURPLUS_FACTOR = 1.15;

/** Growth of the share in one good window. */
const GROWTH_FACTOR = 1.3;
const GROWTH_STEP = 0.05;

/** Share of the calls of a kind that is always let through, so that a recovery is noticed. */
const SMALLEST_SHARE = 0.1;

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
  readonly start: (kind: string) => StartedCall | undefined;
}

/** Share of the calls of one kind that is let through. */
interface KindThrottle {
  readonly start: () => StartedCall | undefined;
}

function createKindThrottle(clock: Clock, random: RandomSource): KindThrottle {
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

  const judge = (): void => {
    const good = results === 0 ? 1 : successes / results;
    if (good < POOR_SHARE && results - successes >= FEWEST_FAILURES) {
      share = Math.max(SMALLEST_SHARE, share * Math.max(STEEPEST_FACTOR, good * SURPLUS_FACTOR));
      // Calls that were started at the larger share say nothing about the smaller one.
      epoch += 1;
    } else if (good >= GOOD_SHARE) share = Math.min(1, share * GROWTH_FACTOR + GROWTH_STEP);
    startWindow();
  };

  const judgeIfOver = (): void => {
    const elapsed = clock.monotonicMilliseconds() - windowStart;
    const isFull = elapsed >= WINDOW_MILLISECONDS && results >= FEWEST_RESULTS;
    if (isFull || elapsed >= LONGEST_WINDOW_MILLISECONDS) judge();
  };

  const finish = (startedEpoch: number, isSuccess: boolean): void => {
    if (startedEpoch !== epoch) return;
    results += 1;
    if (isSuccess) successes += 1;
    judgeIfOver();
  };

  return {
    start: () => {
      judgeIfOver();
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
  const kinds = new Map<string, KindThrottle>();
  return {
    start: (kind) => {
      const known = kinds.get(kind) ?? createKindThrottle(clock, random);
      kinds.set(kind, known);
      return known.start();
    },
  };
}
