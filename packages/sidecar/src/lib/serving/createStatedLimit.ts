import type { EventLogger } from '@buckthornslip/telemetry';

import type { ResponseHead } from '../protocol/ResponseHead';
import { isSameStart } from './isSameStart';
import type { UpstreamInstance } from './UpstreamInstance';

/** Relative change of a limit from which it is logged. */
const LOGGED_CHANGE = 0.1;

/** Dependencies of the stated limit. */
interface StatedLimitOptions {
  readonly logger: EventLogger;
  /** @param perSecond - Calls per second; undefined for no limit. */
  readonly setLimit: (perSecond: number | undefined) => void;
}

/** The limit of calls per second that the local upstream states in its responses. */
export interface StatedLimit {
  /** Applies what the head of a response states; without a limit there, an earlier one has ended. */
  readonly record: (
    instance: UpstreamInstance,
    head: Pick<ResponseHead, 'limitPerSecond' | 'requestId'>,
  ) => void;
  /** Ends the limit of an earlier upstream. */
  readonly startInstance: (instance: UpstreamInstance) => void;
}

/**
 * Creates the stated limit. All calls to the upstream start at this node, so its limit is the limit for all hosts together.
 *
 * @param options - Logger, and the function that applies a limit.
 * @returns A stated limit of which nothing is known.
 * @internal
 */
export function createStatedLimit({ logger, setLimit }: StatedLimitOptions): StatedLimit {
  let current: number | undefined;
  let limited: UpstreamInstance | undefined;
  let logged: number | undefined;

  const isLogged = (next: number | undefined): boolean => {
    if (next === undefined || logged === undefined) return next !== logged;
    return Math.abs(next - logged) > LOGGED_CHANGE * logged;
  };

  const record: StatedLimit['record'] = (instance, { limitPerSecond, requestId }) => {
    limited = instance;
    if (limitPerSecond === current) return;
    current = limitPerSecond;
    setLimit(limitPerSecond);
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
      if (!limited || isSameStart(instance, limited)) return;
      record(instance, { limitPerSecond: undefined, requestId: undefined });
    },
  };
}
