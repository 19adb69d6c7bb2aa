import type { Clock } from '@buckthornslip/common';

/**
 * Measures how long a counter has not changed.
 *
 * @internal
 */
export interface ProgressWatch {
  /** Reads the counter. */
  readonly observe: () => void;
  /** Counts as progress whatever the counter says. */
  readonly restart: () => void;
  /** @returns Time since the counter was seen to change, in milliseconds. */
  readonly stalledMilliseconds: () => number;
}

/**
 * @param clock - Source of time.
 * @param read - Reads the counter.
 * @returns A watch that starts now.
 * @internal
 */
export function createProgressWatch(
  clock: Pick<Clock, 'monotonicMilliseconds'>,
  read: () => number,
): ProgressWatch {
  let last = read();
  let sinceMilliseconds = clock.monotonicMilliseconds();
  const restart = (): void => {
    sinceMilliseconds = clock.monotonicMilliseconds();
  };
  return {
    observe: () => {
      const current = read();
      if (current === last) return;
      last = current;
      restart();
    },
    restart,
    stalledMilliseconds: () => clock.monotonicMilliseconds() - sinceMilliseconds,
  };
}
