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

/** Delay of an announcement from which it is late, in milliseconds. */
const LATE_MILLISECONDS = 500;

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
   * Treats the upstream as cold from now on, because the evacuation of its zone has ended, until an announcement sent later or a
   * health response says otherwise, but not for longer than the service's `slowStartMilliseconds`.
   */
  readonly startAfterEvacuation: () => void;
  /**
   * Applies the cold time of a health response.
   *
   * @param instance - The upstream that was asked.
   * @param coldMilliseconds - Its remaining cold time, in milliseconds.
   * @param sentMilliseconds - Monotonic time at which the request was sent, in milliseconds.
   */
  readonly recordHealth: (
    instance: UpstreamInstance,
    coldMilliseconds: number,
    sentMilliseconds: number,
  ) => void;
  /** @returns Whether a health response would tell more, because the cold time is presumed or the announcements are late. */
  readonly needsHealth: () => boolean;
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
  /** Announcements and health responses from before this time do not end the cold time. */
  let outdatedBefore = -Infinity;
  let isPresumed = false;
  let informedMilliseconds = -Infinity;
  let known: UpstreamInstance | undefined;
  let sendTimes: SendTimeEstimate = createSendTimeEstimate(announcementMilliseconds);
  let slowStartMilliseconds = 0;
  let hasHealth = false;
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
      const isOutdated = sendTimes.record(instance.sequence, now) < outdatedBefore;
      coldUntil = isOutdated ? Math.max(coldUntil, statedUntil) : statedUntil;
      isPresumed &&= isOutdated;
      informedMilliseconds = now;
      apply('announcement');
    },
    configure: (service) => {
      hasHealth = service?.healthPath !== undefined;
      slowStartMilliseconds = service?.slowStartMilliseconds ?? 0;
      perSecond = service?.warmUpPerSecond;
      apply('configuration');
    },
    startAfterEvacuation: () => {
      outdatedBefore = clock.monotonicMilliseconds();
      coldUntil = Math.max(coldUntil, outdatedBefore + slowStartMilliseconds);
      isPresumed = true;
      apply('evacuation-ended');
    },
    recordHealth: (instance, coldMilliseconds, sentMilliseconds) => {
      if (!known || !isSameStart(instance, known) || sentMilliseconds < outdatedBefore) return;
      const now = clock.monotonicMilliseconds();
      outdatedBefore = sentMilliseconds;
      coldUntil = now + coldMilliseconds;
      isPresumed = false;
      informedMilliseconds = now;
      apply('health-response');
    },
    needsHealth: () => {
      if (!known || !hasHealth || perSecond === undefined) return false;
      const ageMilliseconds = clock.monotonicMilliseconds() - informedMilliseconds;
      const isLate = ageMilliseconds > announcementMilliseconds + LATE_MILLISECONDS;
      return isLate || (isPresumed && leftMilliseconds() > 0);
    },
    leftMilliseconds,
    close: () => stopTimer?.(),
  };
}
