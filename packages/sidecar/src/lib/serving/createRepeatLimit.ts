import type { FleetRetrySettings } from './FleetRetrySettings';

/** Limits the repeated calls that an upstream gets, whichever nodes send them. */
export interface RepeatLimit {
  readonly countFirstAttempt: () => void;
  /** @returns Whether a repeated call may be sent to the upstream; if so, it has been counted. */
  readonly tryRepeat: () => boolean;
}

/** Settings of a repeat limit. */
interface RepeatLimitOptions extends FleetRetrySettings {
  /** @returns Number of upstreams of the service, which share the burst. */
  readonly upstreamCount: () => number;
}

/**
 * Creates the repeat limit of one upstream. All calls to the upstream pass its node, so the limits of all upstreams together
 * keep the ratio of their service. The budgets of the entry nodes decide which calls are repeated; they can't foresee how many
 * nested calls a repeated call makes again.
 *
 * @param options - Ratio and burst of the service, and the number of its upstreams.
 * @returns A limit that allows one repeated call; first attempts earn the rest, so that restarts do not renew the burst.
 * @internal
 */
export function createRepeatLimit(options: RepeatLimitOptions): RepeatLimit {
  const { burst, ratio, upstreamCount } = options;
  let tokens = 1;
  const refill = (earned: number): void => {
    tokens = Math.min(Math.max(1, burst / Math.max(1, upstreamCount())), tokens + earned);
  };
  return {
    countFirstAttempt: () => refill(ratio),
    tryRepeat: () => {
      refill(0);
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
