import type { Clock } from '@buckthornslip/common';

/**
 * Timer that fires when nothing happens for a time.
 *
 * @internal
 */
export interface IdleTimer {
  /** Counts the time from now on again. */
  readonly reset: () => void;
  /** Stops counting, for example while the other side does not read. */
  readonly pause: () => void;
  /** Ends the watch. */
  readonly stop: () => void;
}

/**
 * Watches for silence. A touch only notes the time; the timer is set again when it fires, since a touch per chunk would
 * otherwise cost a timer each.
 *
 * @param clock - Source of time.
 * @param limitMilliseconds - Longest time without a touch, in milliseconds.
 * @param onIdle - Called once when the limit has passed.
 * @returns The watch, already counting.
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
