import type { EventLogger } from '@buckthornslip/telemetry';

import type { ResponseHead } from '../protocol/ResponseHead';
import { isSameStart } from './isSameStart';
import type { UpstreamInstance } from './UpstreamInstance';

/** Relative change of a limit from which it is logged. */
const LOGGED_CHANGE = 0.1;

/**
 * Calls that run at once until the first response of an upstream that may have stated a limit to an earlier process of this
 * node. An upstream that takes one call a second is sent at most eleven in four seconds, including those before the restart.
 */
const MAXIMUM_RUNNING_UNHEARD = 4;

/** Dependencies of the stated limit. */
interface StatedLimitOptions {
  readonly logger: EventLogger;
  /** Whether no earlier process of this node can have heard a limit. */
  readonly isFirstStart: boolean;
  /** @param calls - Calls that may run at once; Infinity for no limit. */
  readonly setMaximumRunning: (calls: number) => void;
  /** @param perSecond - Calls per second; undefined for no limit. */
  readonly setRateLimit: (perSecond: number | undefined) => void;
}

/** The limit of calls per second that the local upstream states in its responses. */
export interface StatedLimit {
  /** Applies what the head of a response states; without a limit there, an earlier one has ended. */
  readonly record: (
    instance: UpstreamInstance,
    head: Pick<ResponseHead, 'limitPerSecond' | 'requestId'>,
  ) => void;
  /** Ends the limit of an earlier upstream; of the first one after a restart of this node, the limit is not known. */
  readonly startInstance: (instance: UpstreamInstance) => void;
}

/**
 * Creates the stated limit. All calls to the upstream start at this node, so its limit is the limit for all hosts together.
 *
 * @param options - Logger, and the function that applies a limit.
 * @returns A stated limit of which nothing is known.
 * @internal
 */
export function createStatedLimit(options: StatedLimitOptions): StatedLimit {
  const { isFirstStart, logger, setMaximumRunning, setRateLimit } = options;
  let current: number | undefined;
  let known: UpstreamInstance | undefined;
  let isHeldBack = false;
  let logged: number | undefined;

  const isLogged = (next: number | undefined): boolean => {
    if (next === undefined || logged === undefined) return next !== logged;
    return Math.abs(next - logged) > LOGGED_CHANGE * logged;
  };

  const setHeldBack = (next: boolean): void => {
    if (next === isHeldBack) return;
    isHeldBack = next;
    setMaximumRunning(next ? MAXIMUM_RUNNING_UNHEARD : Infinity);
  };

  const record: StatedLimit['record'] = (instance, { limitPerSecond, requestId }) => {
    known = instance;
    if (limitPerSecond !== current) {
      current = limitPerSecond;
      setRateLimit(limitPerSecond);
    }
    setHeldBack(false);
    if (!isLogged(limitPerSecond)) return;
    const previous = logged;
    logged = limitPerSecond;
    const { id: upstream } = instance;
    logger.log('upstreamLimitChanged', {
      upstream,
      requestId,
      perSecond: limitPerSecond,
      previous,
    });
  };

  return {
    record,
    startInstance: (instance) => {
      if (known) {
        if (!isSameStart(instance, known))
          record(instance, { limitPerSecond: undefined, requestId: undefined });
      } else if (!isFirstStart) {
        known = instance;
        setHeldBack(true);
      }
    },
  };
}
