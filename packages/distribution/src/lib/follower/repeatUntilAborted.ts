import type { Clock } from '@buckthornslip/common';

/**
 * Runs a task repeatedly, with a delay between the end of one run and the start of the next.
 *
 * @param clock - Clock for the delays.
 * @param pauseMilliseconds - Returns the delay after each run, in milliseconds.
 * @param signal - Stops the loop.
 * @param task - The task; it must not reject.
 * @internal
 */
export async function repeatUntilAborted(
  clock: Clock,
  pauseMilliseconds: () => number,
  signal: AbortSignal,
  task: () => Promise<unknown>,
): Promise<void> {
  while (!signal.aborted) {
    await task();
    await clock.sleep(pauseMilliseconds(), signal);
  }
}
