import { setTimeout as sleep } from 'node:timers/promises';

/** Generous, because the machine may be busy; in milliseconds. */
const LIMIT_MILLISECONDS = 20_000;

/**
 * Waits for a condition.
 *
 * @param condition - What to wait for.
 * @param what - Named in the error when the limit of time has passed.
 */
export async function waitUntil(condition: () => boolean, what: string): Promise<void> {
  const end = performance.now() + LIMIT_MILLISECONDS;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`still waiting for ${what}`);
    await sleep(5);
  }
}
