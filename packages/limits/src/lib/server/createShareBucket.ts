import { createOutstandingGrants } from './createOutstandingGrants';
import type { ShareBucket } from './ShareBucket';

const MILLISECONDS_PER_SECOND = 1_000;

/** Tolerance for rounding errors when fractional refills add up to a whole token. */
const ROUNDING_TOLERANCE = 1e-9;

/** Maximum retry delay in milliseconds. */
const MAXIMUM_RETRY_MILLISECONDS = 1_000;

/**
 * Creates a token bucket that accounts for outstanding grants.
 *
 * @param now - Monotonic time in milliseconds.
 * @param frozenUntilMilliseconds - Time before which the bucket is not refilled, because grants of an
 *   earlier lease holder may be outstanding.
 * @param isFull - Whether the bucket starts full. Must be true only if no tokens of this part have ever been granted.
 * @returns A bucket with a rate and capacity of zero.
 * @internal
 */
export function createShareBucket(
  now: () => number,
  frozenUntilMilliseconds: number,
  isFull: boolean,
): ShareBucket {
  const outstanding = createOutstandingGrants();
  let ratePerMillisecond = 0;
  let capacity = 0;
  let level = 0;
  let refilledUntil = Math.max(now(), frozenUntilMilliseconds);
  let nextSequence = 1;
  let fillAtFirstResize = isFull;

  const refillUntil = (time: number): void => {
    if (time <= refilledUntil) return;
    const room = Math.max(0, capacity - outstanding.tokens());
    level = Math.min(room, level + (time - refilledUntil) * ratePerMillisecond);
    refilledUntil = time;
  };

  /**
   * Applies expiries and refills in order of time, because the room for refills grows only when a
   * grant has expired.
   */
  const update = (): void => {
    const time = now();
    let expiry = outstanding.nextExpiry();
    while (expiry !== undefined && expiry <= time) {
      refillUntil(expiry);
      outstanding.expireNext();
      expiry = outstanding.nextExpiry();
    }
    refillUntil(time);
  };

  const capLevel = (): void => {
    level = Math.max(0, Math.min(level, capacity - outstanding.tokens()));
  };

  const retryAfterMilliseconds = (): number => {
    if (ratePerMillisecond === 0) return MAXIMUM_RETRY_MILLISECONDS;
    const byRefill = (1 - level) / ratePerMillisecond;
    const hasRoom = capacity - outstanding.tokens() >= 1;
    const byExpiry = (outstanding.nextExpiry() ?? refilledUntil) - now();
    const wait = Math.max(byRefill, hasRoom ? 0 : byExpiry, refilledUntil - now());
    return Math.min(MAXIMUM_RETRY_MILLISECONDS, Math.max(0, wait));
  };

  return {
    resize: (tokensPerSecond, nextCapacity) => {
      update();
      ratePerMillisecond = tokensPerSecond / MILLISECONDS_PER_SECOND;
      capacity = nextCapacity;
      if (fillAtFirstResize) level = capacity;
      fillAtFirstResize = false;
      capLevel();
    },
    applyReport: ({ sequence, spent, closed }) => {
      update();
      level += outstanding.report(sequence, spent, closed);
      capLevel();
    },
    grant: (needed, ahead, lifeMilliseconds) => {
      update();
      const wholeTokens = Math.floor(level + ROUNDING_TOLERANCE);
      const neededTokens = Math.min(needed, wholeTokens);
      const prefetchedTokens = Math.min(ahead, Math.floor((wholeTokens - neededTokens) / 2));
      const tokens = Math.max(0, neededTokens + prefetchedTokens);
      const sequence = nextSequence;
      if (tokens === 0) return { sequence, tokens };
      nextSequence += 1;
      level -= tokens;
      outstanding.add(sequence, tokens, now() + lifeMilliseconds);
      return { sequence, tokens };
    },
    retryAfterMilliseconds,
    fits: (nextCapacity) => {
      update();
      return now() >= frozenUntilMilliseconds && outstanding.tokens() <= nextCapacity;
    },
  };
}
