import { performance } from 'node:perf_hooks';

import type { Clock } from './Clock';
import { sleepWithTimer } from './sleepWithTimer';

/** Longest delay of a Node timer, in milliseconds; a longer one would fire at once. */
const MAXIMUM_DELAY_MILLISECONDS = 2 ** 31 - 1;

/**
 * Creates a clock that uses the time of the operating system.
 *
 * @returns A clock whose timers are unreferenced, so that they do not keep the process alive.
 * @public
 */
export function createSystemClock(): Clock {
  const setTimer = (milliseconds: number, callback: () => void): (() => void) => {
    const dueAt = performance.now() + milliseconds;
    let timer: NodeJS.Timeout | undefined;
    const wait = (remaining: number): void => {
      timer = setTimeout(fire, Math.min(Math.ceil(remaining), MAXIMUM_DELAY_MILLISECONDS));
      timer.unref();
    };
    // Node counts whole milliseconds and fires up to two of them early by the monotonic clock.
    function fire(): void {
      const remaining = dueAt - performance.now();
      if (remaining > 0) wait(remaining);
      else callback();
    }
    wait(milliseconds);
    return () => clearTimeout(timer);
  };
  return {
    wallMilliseconds: () => Date.now(),
    monotonicMilliseconds: () => performance.now(),
    sleep: (milliseconds, signal) => sleepWithTimer(setTimer, milliseconds, signal),
    setTimer,
  };
}
