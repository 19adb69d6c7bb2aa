import type { RandomSource } from '@buckthornslip/common';

/** Shortest and longest Retry-After, in milliseconds. */
const MINIMUM_MILLISECONDS = 200;
const MAXIMUM_MILLISECONDS = 1_500;

/** Additional delay per rank, in milliseconds, so that urgent calls return first. */
const RANK_MILLISECONDS = 200;

/**
 * Computes the Retry-After of a refusal. Jitter keeps callers from retrying at the same time, and urgent calls get a
 * shorter delay.
 *
 * @param random - Source of random numbers.
 * @param rank - Priority rank of the call.
 * @param suggestedMilliseconds - Delay suggested by the component that refused the call, if any.
 * @returns The delay, in milliseconds.
 * @internal
 */
export function computeRetryAfter(
  random: RandomSource,
  rank: number,
  suggestedMilliseconds: number | undefined,
): number {
  const base = suggestedMilliseconds ?? MINIMUM_MILLISECONDS + rank * RANK_MILLISECONDS;
  const delay = base * (1 + random.next());
  return Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, delay));
}
