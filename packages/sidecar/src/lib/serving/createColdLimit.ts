import type { Clock } from '@buckthornslip/common';
import type { PolicyService } from '@buckthornslip/config';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ColdCause } from './ColdCause';
import type { SendTimeEstimate } from './createSendTimeEstimate';
import { createSendTimeEstimate } from './createSendTimeEstimate';
import { isSameStart } from './isSameStart';
import type { UpstreamInstance } from './UpstreamInstance';

/**
 * Limit of a cold upstream until the first policy is known. The bucket sends at most twice as many calls in a second, and
 * a cold upstream takes at least 8, whatever its warm-up rate.
 */
const UNCONFIGURED_PER_SECOND = 4;

/** Dependencies of the cold limit. */
interface ColdLimitOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Expected interval between announcements, in milliseconds. */
  readonly announcementMilliseconds: number;
  /** @param perSecond - Calls per second; undefined for no limit. */
  readonly setRateLimit: (perSecond: number | undefined) => void;
  /** Counts the beginning of a limit. */
  readonly countLimit: (cause: ColdCause) => void;
}

/** The limit of calls per second while the local upstream is cold. */
export interface ColdLimit {
  /** Applies the cold time of an announcement, before a call starts because of the announcement. */
  readonly announce: (instance: UpstreamInstance) => void;
  /** Applies the settings of the service; undefined if the policy does not have it. */
  readonly configure: (service: PolicyService | undefined) => void;
  /**
   * Treats the upstream as cold from now on, because the evacuation of its zone has ended, until an announcement sent later
   * says otherwise, but not for longer than the service's `slowStartMilliseconds`.
   */
  readonly startAfterEvacuation: () => void;
  /** @returns Remaining cold time, in milliseconds; 0 if the upstream is not cold. */
  readonly leftMilliseconds: () => number;
  readonly close: () => void;
}

/**
 * Creates the cold limit of the local upstream. All calls to it start at this node, so the limit holds for all hosts together.
 *
 * @param options - Dependencies and the interval between announcements.
 * @returns The limit, of an upstream that is not cold.
 * @internal
 */
export function createColdLimit(options: ColdLimitOptions): ColdLimit {
  const { announcementMilliseconds, clock, countLimit, logger, setRateLimit } = options;
  let coldUntil = -Infinity;
  /** Announcements that were sent before this time do not end the cold time. */
  let presumedFrom = -Infinity;
  let known: UpstreamInstance | undefined;
  let sendTimes: SendTimeEstimate = createSendTimeEstimate(announcementMilliseconds);
  let slowStartMilliseconds = 0;
  let perSecond: number | undefined = UNCONFIGURED_PER_SECOND;
  let applied: number | undefined;
  let stopTimer: (() => void) | undefined;

  const leftMilliseconds = (): number => Math.max(0, coldUntil - clock.monotonicMilliseconds());

  const apply = (cause: ColdCause): void => {
    stopTimer?.();
    const left = leftMilliseconds();
    const next = left > 0 ? perSecond : undefined;
    if (left > 0) stopTimer = clock.setTimer(left, () => apply('elapsed'));
    if (next === applied) return;
    const previous = applied;
    applied = next;
    if (previous === undefined) countLimit(cause);
    logger.log('upstreamColdLimitChanged', {
      upstream: known?.id,
      perSecond: next,
      previous,
      cause,
      milliseconds: Math.round(left),
    });
    setRateLimit(next);
  };

  return {
    announce: (instance) => {
      if (!known || !isSameStart(instance, known))
        sendTimes = createSendTimeEstimate(announcementMilliseconds);
      known = instance;
      const now = clock.monotonicMilliseconds();
      // The arrival is used instead of the estimated time of sending, so that the limit never ends too early.
      const statedUntil = now + instance.coldStartMilliseconds;
      const isOutdated = sendTimes.record(instance.sequence, now) < presumedFrom;
      coldUntil = isOutdated ? Math.max(coldUntil, statedUntil) : statedUntil;
      apply('announcement');
    },
    configure: (service) => {
      slowStartMilliseconds = service?.slowStartMilliseconds ?? 0;
      perSecond = service?.warmUpPerSecond;
      apply('configuration');
    },
    startAfterEvacuation: () => {
      presumedFrom = clock.monotonicMilliseconds();
      coldUntil = Math.max(coldUntil, presumedFrom + slowStartMilliseconds);
      apply('evacuation-ended');
    },
    leftMilliseconds,
    close: () => stopTimer?.(),
  };
}
