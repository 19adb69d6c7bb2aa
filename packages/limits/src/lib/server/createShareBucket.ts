import { createOutstandingGrants } from './createOutstandingGrants';
import type { ShareBucket } from './ShareBucket';

const MILLISECONDS_PER_SECOND = 1_000;

/** Refills of fractions of a token add up to a whole token but for rounding. */
const ROUNDING_TOLERANCE = 1e-9;

/** Longest advice when to ask again, in milliseconds. */
const LONGEST_RETRY_MILLISECONDS = 1_000;

/**
 * Creates a bucket.
 *
 * @param now - Monotonic time in milliseconds.
 * @param frozenUntilMilliseconds - Time before which nothing is refilled, because grants of an earlier
 *   holder may be outstanding.
 * @param isFull - Whether the bucket starts full: only if nobody has ever granted tokens of this part.
 * @returns A bucket with rate and capacity zero.
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
  let settled = Math.max(now(), frozenUntilMilliseconds);
  let nextSequence = 1;
  let fillAtFirstResize = isFull;

  const refillUntil = (time: number): void => {
    if (time <= settled) return;
    const room = Math.max(0, capacity - outstanding.tokens());
    level = Math.min(room, level + (time - settled) * ratePerMillisecond);
    settled = time;
  };

  /** Catches up in order of time: the room for refills grows only when a grant has expired. */
  const settle = (): void => {
    const time = now();
    let expiry = outstanding.nextExpiry();
    while (expiry !== undefined && expiry <= time) {
      refillUntil(expiry);
      outstanding.expireNext();
      expiry = outstanding.nextExpiry();
    }
    refillUntil(time);
  };

  const trim = (): void => {
    level = Math.max(0, Math.min(level, capacity - outstanding.tokens()));
  };

  const retryAfterMilliseconds = (): number => {
    if (ratePerMillisecond === 0) return LONGEST_RETRY_MILLISECONDS;
    const byRefill = (1 - level) / ratePerMillisecond;
    const hasRoom = capacity - outstanding.tokens() >= 1;
    const byExpiry = (outstanding.nextExpiry() ?? settled) - now();
    const wait = Math.max(byRefill, hasRoom ? 0 : byExpiry, settled - now());
    return Math.min(LONGEST_RETRY_MILLISECONDS, Math.max(0, wait));
  };

  return {
    resize: (tokensPerSecond, nextCapacity) => {
      settle();
      ratePerMillisecond = tokensPerSecond / MILLISECONDS_PER_SECOND;
      capacity = nextCapacity;
      if (fillAtFirstResize) level = capacity;
      fillAtFirstResize = false;
      trim();
    },
    applyReport: ({ sequence, spent, closed }) => {
      settle();
      level += outstanding.report(sequence, spent, closed);
      trim();
    },
    grant: (needed, ahead, lifeMilliseconds) => {
      settle();
      const whole = Math.floor(level + ROUNDING_TOLERANCE);
      const forNeeded = Math.min(needed, whole);
      const forAhead = Math.min(ahead, Math.floor((whole - forNeeded) / 2));
      const tokens = Math.max(0, forNeeded + forAhead);
      const sequence = nextSequence;
      if (tokens === 0) return { sequence, tokens };
      nextSequence += 1;
      level -= tokens;
      outstanding.add(sequence, tokens, now() + lifeMilliseconds);
      return { sequence, tokens };
    },
    retryAfterMilliseconds,
    fits: (nextCapacity) => {
      settle();
      return now() >= frozenUntilMilliseconds && outstanding.tokens() <= nextCapacity;
    },
  };
}
