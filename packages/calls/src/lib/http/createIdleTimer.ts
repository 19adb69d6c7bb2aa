import type { Clock } from '@buckthornslip/common';

/**
 * A timer that fires when there is no activity for a given time.
 *
 * @internal
 */
export interface IdleTimer {
  /** Restarts the timer, also after a pause. */
  readonly reset: () => void;
  /** Pauses the timer until the next reset, for example while the receiver does not read. */
  readonly pause: () => void;
  /** Stops the timer for good. */
  readonly stop: () => void;
}

/**
 * Creates an idle timer. A reset only records the time, and the underlying timer is rescheduled when it fires, since
 * rescheduling it for each chunk would be expensive.
 *
 * @param clock - Source of time.
 * @param limitMilliseconds - Idle timeout, in milliseconds.
 * @param onIdle - Called once when the timeout has passed without a reset.
 * @returns The timer, already running.
 * @internal
 */
export function createIdleTimer(
  clock: Clock,
  limitMilliseconds: number,
  onIdle: () => void,
): IdleTimer {
  let last = clock.monotonicMilliseconds();
  let paused = false;
  let cancel: (() => void) | undefined;
  const check = (): void => {
    const idle = paused ? 0 : clock.monotonicMilliseconds() - last;
    if (idle >= limitMilliseconds) {
      cancel = undefined;
      onIdle();
    } else {
      cancel = clock.setTimer(Math.max(1, limitMilliseconds - idle), check);
    }
  };
  cancel = clock.setTimer(limitMilliseconds, check);
  return {
    reset: () => {
      paused = false;
      last = clock.monotonicMilliseconds();
    },
    pause: () => {
      paused = true;
    },
    stop: () => {
      cancel?.();
      cancel = undefined;
    },
  };
}
