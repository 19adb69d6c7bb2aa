import { setTimeout as sleep } from 'node:timers/promises';

/** Long enough for a heavily loaded machine, in milliseconds. */
const LIMIT_MILLISECONDS = 20_000;

/**
 * Polls a condition until it is met.
 *
 * @param condition - Condition to poll.
 * @param what - Description of the condition for the error message.
 * @throws If the condition is not met within the time limit.
 */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
  const end = performance.now() + LIMIT_MILLISECONDS;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`timed out waiting for ${what}`);
    await sleep(5);
  }
}
