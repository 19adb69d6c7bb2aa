import type { Clock } from '@buckthornslip/common';

/**
 * Runs a step periodically; the duration of the step is part of the period.
 *
 * @param clock - Source of time.
 * @param periodMilliseconds - Time between the starts of two steps, in milliseconds.
 * @param signal - Stops the loop.
 * @param step - The step.
 * @internal
 */
export async function runPeriodically(
  clock: Clock,
  periodMilliseconds: number,
  signal: AbortSignal,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    const startedAt = clock.monotonicMilliseconds();
    await step();
    const elapsed = clock.monotonicMilliseconds() - startedAt;
    await clock.sleep(Math.max(0, periodMilliseconds - elapsed), signal);
  }
}
