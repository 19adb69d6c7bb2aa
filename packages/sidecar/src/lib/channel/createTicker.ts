import type { Clock } from '@buckthornslip/common';

/** Calls back at regular times, as long as someone listens. */
export interface Ticker {
  /**
   * @param callback - Called at each tick.
   * @returns Takes the callback back.
   */
  readonly add: (callback: () => void) => () => void;
}

/**
 * Creates a ticker that all connections of a node share, because each timer of its own would wake the process up.
 *
 * @param clock - Source of time.
 * @param periodMilliseconds - Time between ticks.
 * @returns A ticker without listeners; it has no timer until there is one.
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
