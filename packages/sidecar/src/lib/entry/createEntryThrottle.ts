import type { Clock, RandomSource } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import { createEarlyRefusal } from './createEarlyRefusal';
import { createRouteThrottle } from './createRouteThrottle';

/** Dependencies of the throttle. */
interface EntryThrottleOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  /** Whether the reports of serving nodes are used. */
  readonly refusesEarly: boolean;
}

/** A call that asks to be let through. */
interface ArrivedCall {
  readonly route: string;
  /** Priority rank; 0 is the most urgent. */
  readonly rank: number;
  /** Time that the caller has left, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/** How a call ended that was let through. */
interface CallEnd {
  readonly isSuccess: boolean;
  /** Whether it failed because a call below it was refused for lack of capacity. */
  readonly isNestedRefused?: boolean | undefined;
}

/** Decision on a call. */
export type ThrottleDecision =
  | { readonly kind: 'started'; readonly finish: (end: CallEnd) => void }
  /** Refused by the node's own results; the delay has no jitter of its own. */
  | { readonly kind: 'throttled' }
  /** Refused by the reports of serving nodes. */
  | { readonly kind: 'no-capacity'; readonly retryAfterMilliseconds: number };

/**
 * Refuses calls at the entry node that would probably fail after some work.
 *
 * @internal
 */
export interface EntryThrottle {
  readonly start: (call: ArrivedCall) => ThrottleDecision;
  /** Records what a serving node reported with the result of an attempt. */
  readonly recordAttempt: (
    call: Pick<CallAttempt, 'route' | 'isNested'>,
    result: Pick<AttemptResult, 'nestedShare'>,
  ) => void;
  /** @returns Routes of which some calls are refused because of reports. */
  readonly reducedRoutes: () => number;
}

/**
 * Creates the throttle of an entry node. Calls pass two checks: the share that the reports of serving nodes suggest, and
 * the share that the node's own results suggest. Failures that the reports cover don't count in the second check, so that
 * they reduce the calls once.
 *
 * @param options - Clock, random source, logger, and whether reports are used.
 * @returns A throttle that lets all calls through.
 * @internal
 */
export function createEntryThrottle(options: EntryThrottleOptions): EntryThrottle {
  const throttle = createRouteThrottle(options.clock, options.random);
  const earlyRefusal = options.refusesEarly ? createEarlyRefusal(options) : undefined;
  return {
    start: ({ rank, remainingMilliseconds, route }) => {
      if (earlyRefusal?.admits(route, rank) === false) {
        const delay = earlyRefusal.retryAfterMilliseconds(route, rank, remainingMilliseconds);
        return { kind: 'no-capacity', retryAfterMilliseconds: delay };
      }
      const started = throttle.tryStart(`${route}/${rank}`);
      if (!started) return { kind: 'throttled' };
      return {
        kind: 'started',
        finish: ({ isNestedRefused, isSuccess }) => {
          if (isSuccess || !isNestedRefused || !earlyRefusal) started.finish(isSuccess);
        },
      };
    },
    recordAttempt: ({ isNested, route }, { nestedShare }) => {
      // Nested calls are never throttled, so their reports are not needed.
      if (!isNested) earlyRefusal?.record(route, nestedShare);
    },
    reducedRoutes: () => earlyRefusal?.reducedRoutes() ?? 0,
  };
}
