import type { Clock } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';

const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket of one account. */
export interface TokenBucket {
  /** @returns Number of whole tokens in the bucket. */
  readonly available: () => number;
  readonly take: (tokens: number) => void;
  /** @returns Time until the bucket holds the number of tokens, in milliseconds. */
  readonly millisecondsUntil: (tokens: number) => number;
}

/**
 * Creates a token bucket.
 *
 * @param clock - Source of monotonic time.
 * @param allowance - Rate and burst, which may change at any time.
 * @param initialTokens - Initial number of tokens.
 * @returns The bucket.
 * @internal
 */
export function createTokenBucket(
  clock: Clock,
  allowance: () => AccountAllowance,
  initialTokens: number,
): TokenBucket {
  let tokens = initialTokens;
  let updatedMilliseconds = clock.monotonicMilliseconds();

  const refill = (): void => {
    const now = clock.monotonicMilliseconds();
    const { burst, ratePerSecond } = allowance();
    const earned = ((now - updatedMilliseconds) / MILLISECONDS_PER_SECOND) * ratePerSecond;
    // The capacity is at least one token; otherwise an account with a burst below one would never get any.
    tokens = Math.min(Math.max(1, burst), tokens + earned);
    updatedMilliseconds = now;
  };

  return {
    available: () => {
      refill();
      return Math.floor(tokens);
    },
    take: (count) => {
      tokens -= count;
    },
    millisecondsUntil: (count) => {
      refill();
      const missing = Math.max(0, count - tokens);
      return (missing / allowance().ratePerSecond) * MILLISECONDS_PER_SECOND;
    },
  };
}
