import type { Clock, TokenBucket, TokenRate } from '@buckthornslip/common';
import { createTokenBucket } from '@buckthornslip/common';

/** Time without calls whose unused starts are kept, in seconds. */
const BURST_SECONDS = 1;

/** Lowest rate, in calls per second. Without any call, the upstream could not state another rate. */
const MINIMUM_PER_SECOND = 0.5;

/**
 * Limits how many calls start per second.
 *
 * @internal
 */
export interface StartRate {
  /** @param perSecond - Calls per second; undefined for no limit. */
  readonly setLimit: (perSecond: number | undefined) => void;
  /** @returns The limit, in calls per second; Infinity if there is none. */
  readonly perSecond: () => number;
  /** @returns Time until the next call may start, in milliseconds; 0 if it may start now. */
  readonly delayMilliseconds: () => number;
  /** Counts a call that starts now. */
  readonly start: () => void;
}

function defaultCapacity(perSecond: number): number {
  return Math.max(1, perSecond * BURST_SECONDS);
}

/**
 * Creates a token bucket for the starts of calls.
 *
 * @param clock - Source of time.
 * @param capacityOf - Returns the unused starts that are kept at a rate.
 * @returns A rate without a limit.
 * @internal
 */
export function createStartRate(clock: Clock, capacityOf = defaultCapacity): StartRate {
  let limit = Infinity;
  const rate = (): TokenRate => ({ tokensPerSecond: limit, capacity: capacityOf(limit) });
  let starts: TokenBucket | undefined;

  return {
    setLimit: (perSecond) => {
      const next = Math.max(MINIMUM_PER_SECOND, perSecond ?? Infinity);
      if (next === limit) return;
      // Starts that were earned at the rate until now are kept.
      starts?.available();
      limit = next;
      if (limit === Infinity) starts = undefined;
      // The calls that started before the first limit are not known, so nothing is saved.
      else starts ??= createTokenBucket(clock, rate, 0);
    },
    perSecond: () => limit,
    delayMilliseconds: () => (starts ? Math.ceil(starts.millisecondsUntil(1)) : 0),
    start: () => starts?.take(1),
  };
}
