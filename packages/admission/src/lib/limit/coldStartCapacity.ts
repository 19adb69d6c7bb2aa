/** Largest unused starts above half the rate. The rule allows 8; the rest is a margin for calls that are sent late. */
const EXTRA_STARTS = 6;

/** Part of the rate that is kept at most. The rule allows 0.5; the rest covers calls that are sent up to 50 ms late. */
const RATE_SHARE = 0.45;

/**
 * Unused starts that are kept for a cold upstream. Within any second, the capacity and one second's tokens may be used, and
 * together they must stay below 1.5 times the rate plus 8.
 *
 * @param perSecond - Calls per second that the cold upstream takes.
 * @returns Capacity of its token bucket.
 * @internal
 */
export function coldStartCapacity(perSecond: number): number {
  return Math.min(Math.max(1, perSecond), RATE_SHARE * perSecond + EXTRA_STARTS);
}
