import type { Clock } from '../clock/Clock';
import type { TokenBucket } from './TokenBucket';
import type { TokenRate } from './TokenRate';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a token bucket.
 *
 * @param clock - Source of monotonic time.
 * @param rate - Rate and capacity. They may change; a change counts for the whole time since the last use.
 * @param initialTokens - Initial number of tokens.
 * @returns The bucket.
 * @public
 */
export function createTokenBucket(
  clock: Clock,
  rate: () => TokenRate,
  initialTokens: number,
): TokenBucket {
  let tokens = initialTokens;
  let updatedMilliseconds = clock.monotonicMilliseconds();

  const refill = (): void => {
    const now = clock.monotonicMilliseconds();
    const { capacity, tokensPerSecond } = rate();
    const earned = ((now - updatedMilliseconds) / MILLISECONDS_PER_SECOND) * tokensPerSecond;
    tokens = Math.min(capacity, tokens + earned);
    updatedMilliseconds = now;
  };

  return {
    available: () => {
      refill();
      return tokens;
    },
    take: (count) => {
      refill();
      tokens = Math.min(rate().capacity, tokens - count);
    },
    millisecondsUntil: (count) => {
      refill();
      if (tokens >= count) return 0;
      return ((count - tokens) / rate().tokensPerSecond) * MILLISECONDS_PER_SECOND;
    },
  };
}
