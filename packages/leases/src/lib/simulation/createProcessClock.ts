import type { Clock, RandomSource } from '@buckthornslip/common';

import type { PauseControl } from './createPauseControl';

/**
 * Creates the clock of a simulated process. Its time goes on while the process is paused, but timers fire
 * only when it runs again.
 *
 * @param clock - The common clock.
 * @param rate - Rate of the process's monotonic clock; 1 is exact.
 * @param pauseControl - Gate of the process.
 * @param random - Decides the order of events after a pause.
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
    // After a pause, responses that have arrived are handled before the timers or after them.
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
