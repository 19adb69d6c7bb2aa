import type { Clock, RandomSource } from '@buckthornslip/common';

import type { PauseControl } from './createPauseControl';

/**
 * Creates the clock of a simulated process. Time passes while the process is paused, but its timers
 * fire only after it resumes.
 *
 * @param clock - The clock of the simulation.
 * @param rate - Rate of the process's monotonic clock relative to the clock of the simulation; 1 if it is exact.
 * @param pauseControl - Pauses the process.
 * @param random - Source of the random order of events after a pause.
 * @internal
 */
export function createProcessClock(
  clock: Clock,
  rate: number,
  pauseControl: PauseControl,
  random: RandomSource,
): Clock {
  const whenRunning = async (): Promise<void> => {
    if (pauseControl.isRunning()) return;
    await pauseControl.whenRunning();
    // After a pause, pending responses may be handled before or after the timers.
    if (random.next() < 0.5) await clock.sleep(1);
  };

  const setTimer: Clock['setTimer'] = (milliseconds, callback) => {
    let isCancelled = false;
    const cancelTimer = clock.setTimer(milliseconds / rate, () => {
      void whenRunning().then(() => {
        if (!isCancelled) callback();
      });
    });
    return () => {
      isCancelled = true;
      cancelTimer();
    };
  };
  return {
    wallMilliseconds: clock.wallMilliseconds,
    monotonicMilliseconds: () => clock.monotonicMilliseconds() * rate,
    setTimer,
    sleep: (milliseconds, signal) =>
      new Promise((resolve) => {
        const cancelTimer = setTimer(milliseconds, resolve);
        signal?.addEventListener('abort', () => {
          cancelTimer();
          resolve();
        });
      }),
  };
}
