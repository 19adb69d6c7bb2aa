import type { RandomSource } from '@buckthornslip/common';

/** Shortest and longest time over which returning calls are spread, in milliseconds. */
const MINIMUM_SPREAD_MILLISECONDS = 300;
const MAXIMUM_SPREAD_MILLISECONDS = 1_500;

/** Shortest delay, in milliseconds. */
const MINIMUM_MILLISECONDS = 50;

/** Part of the remaining time up to which callers honour a Retry-After; they give up if it is longer. */
const HONOURED_SHARE = 1 / 3;

/** Part of the honoured time that is used, because the answer and the next request need some of it. */
const USED_SHARE = 0.9;

/** Part of the spread by which each rank starts later than the rank before it. */
const RANK_SHIFT = 0.15;

/** A call that was refused for lack of capacity. */
interface RefusedCall {
  /** Priority rank; 0 is the most urgent. */
  readonly rank: number;
  /** Time that the caller has left, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Time until there is probably capacity, in milliseconds. */
  readonly waitMilliseconds: number;
}

/**
 * Computes the Retry-After of a call that was refused at its entry. Returning calls are spread evenly over the time in
 * which capacity is expected, urgent ones earlier, and each within the time that its caller honours.
 *
 * @param random - Source of random numbers.
 * @param call - The refused call.
 * @returns The delay, in milliseconds.
 * @internal
 */
export function spreadRetryAfter(
  random: RandomSource,
  { rank, remainingMilliseconds, waitMilliseconds }: RefusedCall,
): number {
  const honoured = remainingMilliseconds * HONOURED_SHARE * USED_SHARE;
  const spread = Math.min(
    MAXIMUM_SPREAD_MILLISECONDS,
    Math.max(MINIMUM_SPREAD_MILLISECONDS, waitMilliseconds),
    honoured,
  );
  const start = Math.min(1, rank * RANK_SHIFT) * spread;
  return Math.max(MINIMUM_MILLISECONDS, start + random.next() * (spread - start));
}
