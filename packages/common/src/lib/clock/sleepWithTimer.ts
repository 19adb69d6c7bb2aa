import type { Clock } from './Clock';

/**
 * Implements {@link Clock.sleep} with {@link Clock.setTimer}.
 *
 * @param setTimer - The clock's timer function.
 * @param milliseconds - Time to wait, in milliseconds.
 * @param signal - Ends the wait early.
 * @returns A promise that resolves after the time or when the signal is aborted.
 * @internal
 */
export function sleepWithTimer(
  setTimer: Clock['setTimer'],
  milliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    let cancel = (): void => undefined;
    const abort = (): void => {
      cancel();
      resolve();
    };
    // Without this, each sleep of a long-running task would leak a listener on the task's signal.
    const finish = (): void => {
      signal?.removeEventListener('abort', abort);
      resolve();
    };
    cancel = setTimer(milliseconds, finish);
    signal?.addEventListener('abort', abort, { once: true });
  });
}
