import { setTimeout } from 'node:timers/promises';

import type { Clock } from '@buckthornslip/common';
import { createSystemClock } from '@buckthornslip/common';

/**
 * Creates the clock of commands. The timers of the system clock are unreferenced, so a process that only waits for one
 * would exit early.
 *
 * @returns The system clock, but with sleeps that keep the process alive.
 * @internal
 */
export function createCommandClock(): Clock {
  return {
    ...createSystemClock(),
    sleep: async (milliseconds, signal) => {
      await setTimeout(milliseconds, undefined, { signal }).catch(() => undefined);
    },
  };
}
