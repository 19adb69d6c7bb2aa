import { performance } from 'node:perf_hooks';

import type { Clock } from './Clock';
import { sleepWithTimer } from './sleepWithTimer';

/**
 * Creates a clock that uses the time of the operating system.
 *
 * @returns A clock whose timers are unreferenced, so that they do not keep the process alive.
 * @public
 */
export function createSystemClock(): Clock {
  const setTimer = (milliseconds: number, callback: () => void): (() => void) => {
    const timer = setTimeout(callback, milliseconds);
    timer.unref();
    return () => clearTimeout(timer);
  };
  return {
    wallMilliseconds: () => Date.now(),
    monotonicMilliseconds: () => performance.now(),
    sleep: (milliseconds, signal) => sleepWithTimer(setTimer, milliseconds, signal),
    setTimer,
  };
}
