import { setTimeout as sleep } from 'node:timers/promises';

const INTERVAL_MILLISECONDS = 50;

/**
 * Polls a condition until it is met.
 *
 * @param description - Description of the condition for the error message.
 * @param limitMilliseconds - Time limit.
 * @param isMet - Condition to poll.
 * @returns Time until the condition was met, in milliseconds.
 * @throws If the condition is not met within the time limit.
 */
export async function waitFor(
  description: string,
  limitMilliseconds: number,
  isMet: () => Promise<boolean>,
): Promise<number> {
  const start = performance.now();
  while (!(await isMet())) {
    if (performance.now() - start > limitMilliseconds) {
      throw new Error(`timed out after ${limitMilliseconds} ms waiting for: ${description}`);
    }
    await sleep(INTERVAL_MILLISECONDS);
  }
  return performance.now() - start;
}
