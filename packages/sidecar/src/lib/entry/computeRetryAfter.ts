import type { RandomSource } from '@buckthornslip/common';

/** Shortest and longest time after which a caller is asked to come back, in milliseconds. */
const MIN_MILLISECONDS = 200;
const MAX_MILLISECONDS = 1_500;

/** Least important ranks come back later by this time for each rank, in milliseconds. */
const RANK_MILLISECONDS = 200;

/**
 * Chooses when a caller should come back. The times are spread, so that callers do not return together, and important
 * calls return first.
 *
 * @param random - Source of random numbers.
 * @param rank - Importance of the call.
 * @param suggestedMilliseconds - Time that the refusing part suggests, if any.
 * @returns The time, in milliseconds.
 * @internal
 */
export function computeRetryAfter(
  random: RandomSource,
  rank: number,
  suggestedMilliseconds: number | undefined,
): number {
  const base = suggestedMilliseconds ?? MIN_MILLISECONDS + rank * RANK_MILLISECONDS;
  const delay = base * (1 + random.next());
  return Math.min(MAX_MILLISECONDS, Math.max(MIN_MILLISECONDS, delay));
}
