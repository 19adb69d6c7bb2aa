import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

/** Interval at which the delay of timers is measured, in milliseconds. A longer turn of the event loop is always noticed. */
const CHECK_MILLISECONDS = 100;

/** Shortest delay that is logged, in milliseconds. */
const LOGGED_DELAY_MILLISECONDS = 250;

/** Measures how late the timers of this process run. */
export interface LagMonitor {
  /** @returns The last measured delay, in milliseconds. */
  readonly delayMilliseconds: () => number;
  readonly stop: () => void;
}

/**
 * Starts to measure the delay of the event loop, and logs long ones.
 *
 * @param clock - Source of time.
 * @param logger - Receives `eventLoopDelayed`.
 * @returns The monitor.
 * @internal
 */
export function createLagMonitor(clock: Clock, logger: EventLogger): LagMonitor {
  let delayMilliseconds = 0;
  let stopTimer = (): void => undefined;
  const schedule = (): void => {
    const dueMilliseconds = clock.monotonicMilliseconds() + CHECK_MILLISECONDS;
    stopTimer = clock.setTimer(CHECK_MILLISECONDS, () => {
      delayMilliseconds = Math.max(0, clock.monotonicMilliseconds() - dueMilliseconds);
      if (delayMilliseconds >= LOGGED_DELAY_MILLISECONDS) {
        logger.log('eventLoopDelayed', { milliseconds: Math.round(delayMilliseconds) });
      }
      schedule();
    });
  };
  schedule();
  return { delayMilliseconds: () => delayMilliseconds, stop: () => stopTimer() };
}
