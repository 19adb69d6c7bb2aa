import type { Clock } from '@buckthornslip/common';

const MILLISECONDS_PER_SECOND = 1_000;

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

/**
 * Creates a token bucket for the starts of calls.
 *
 * @param clock - Source of time.
 * @returns A rate without a limit.
 * @internal
 */
export function createStartRate(clock: Clock): StartRate {
  const now = clock.monotonicMilliseconds;
  let limit = Infinity;
  let tokens = 0;
  let updatedMilliseconds = now();

  const refill = (): void => {
    const earned = ((now() - updatedMilliseconds) / MILLISECONDS_PER_SECOND) * limit;
    updatedMilliseconds = now();
    tokens = Math.min(Math.max(1, limit * BURST_SECONDS), tokens + earned);
  };

  return {
    setLimit: (perSecond) => {
      const next = Math.max(MINIMUM_PER_SECOND, perSecond ?? Infinity);
      if (next === limit) return;
      // The calls that started before the first limit are not known, so nothing is saved.
      if (limit === Infinity) tokens = 0;
      else refill();
      updatedMilliseconds = now();
      limit = next;
    },
    perSecond: () => limit,
    delayMilliseconds: () => {
      if (limit === Infinity) return 0;
      refill();
      return tokens >= 1 ? 0 : Math.ceil(((1 - tokens) / limit) * MILLISECONDS_PER_SECOND);
    },
    start: () => {
      if (limit === Infinity) return;
      refill();
      tokens -= 1;
    },
  };
}
