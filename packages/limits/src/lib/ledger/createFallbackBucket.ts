import type { Clock } from '@buckthornslip/common';

/**
 * Fraction of the rate that all nodes together may admit while the ledger is unreachable. It is the smallest overshoot
 * that operators allow for.
 */
const FALLBACK_RATE_SHARE = 0.1;

const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket that a node spends from while the ledger is unreachable. */
export interface FallbackBucket {
  /** @returns Whether a token was left. */
  readonly take: (ratePerSecond: number) => boolean;
}

/**
 * @param clock - Source of monotonic time.
 * @param nodeCount - Number of nodes that share the fallback rate.
 * @returns An empty bucket.
 * @internal
 */
export function createFallbackBucket(clock: Clock, nodeCount: () => number): FallbackBucket {
  let tokens = 0;
  let updatedMilliseconds = clock.monotonicMilliseconds();
  return {
    take: (ratePerSecond) => {
      const now = clock.monotonicMilliseconds();
      const nodeRatePerSecond = (ratePerSecond * FALLBACK_RATE_SHARE) / Math.max(1, nodeCount());
      const refill = ((now - updatedMilliseconds) / MILLISECONDS_PER_SECOND) * nodeRatePerSecond;
      tokens = Math.min(1, tokens + refill);
      updatedMilliseconds = now;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
