import type { Clock } from '@buckthornslip/common';

/** Invokes callbacks at a fixed interval while at least one is registered. */
export interface Ticker {
  /**
   * @param callback - Called at each tick.
   * @returns A function that removes the callback.
   */
  readonly add: (callback: () => void) => () => void;
}

/**
 * Creates a ticker that all connections of a node share, because separate timers would wake up the process more often.
 *
 * @param clock - Source of time.
 * @param periodMilliseconds - Interval between ticks, in milliseconds.
 * @returns A ticker without callbacks; its timer starts with the first one.
 * @internal
 */
export function createTicker(clock: Clock, periodMilliseconds: number): Ticker {
  const callbacks = new Set<() => void>();
  let isScheduled = false;
  const tick = (): void => {
    [...callbacks].forEach((callback) => callback());
    isScheduled = callbacks.size > 0;
    if (isScheduled) clock.setTimer(periodMilliseconds, tick);
  };
  return {
    add: (callback) => {
      callbacks.add(callback);
      if (!isScheduled) {
        isScheduled = true;
        clock.setTimer(periodMilliseconds, tick);
      }
      return () => callbacks.delete(callback);
    },
  };
}
