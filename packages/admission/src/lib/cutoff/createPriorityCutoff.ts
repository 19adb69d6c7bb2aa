import { priorityRank } from '@buckthornslip/common';
import type { Clock } from '@buckthornslip/common';

import type { PriorityCutoff } from './PriorityCutoff';

/** Length of the window in which arrivals and refusals are compared, in milliseconds. */
const WINDOW_MILLISECONDS = 200;

/** A window with fewer arrivals of a rank is too small a sample to cut the rank off. */
const MINIMUM_ARRIVALS = 5;

/** Share of a rank's calls that must be refused in a window for the rank to count as starved. */
const MINIMUM_REFUSED_SHARE = 0.9;

/** Consecutive windows that must agree before the cutoff is lowered, and before it is raised. */
const WINDOWS_TO_CUT = 2;
const WINDOWS_TO_RAISE = 3;

const RANKS = Object.keys(priorityRank).length;

/** Critical calls (rank 0) are never cut off; they compete in the queue. */
const MINIMUM_CUTOFF_RANK = 1;

/**
 * Creates a priority cutoff with hysteresis. A rank is cut off only when nearly all its calls are refused after
 * queueing, so that waiting gains them nothing. It is admitted again once slots were free in several windows.
 *
 * @param clock - Source of time.
 * @returns A cutoff that refuses nothing.
 * @internal
 */
export function createPriorityCutoff(clock: Clock): PriorityCutoff {
  const now = clock.monotonicMilliseconds;
  let cutoff = RANKS;
  let windowStart = now();
  let arrivals = new Array<number>(RANKS).fill(0);
  let refusals = new Array<number>(RANKS).fill(0);
  let hadIdleSlot = false;
  let windowsToCut = 0;
  let windowsToRaise = 0;

  const isStarved = (rank: number): boolean => {
    const arrived = arrivals[rank] ?? 0;
    return arrived >= MINIMUM_ARRIVALS && (refusals[rank] ?? 0) >= MINIMUM_REFUSED_SHARE * arrived;
  };

  const updateCutoff = (): void => {
    const starved = arrivals.findIndex((_, rank) => rank >= MINIMUM_CUTOFF_RANK && isStarved(rank));
    const shouldCut = starved >= 0 && starved < cutoff && !hadIdleSlot;
    windowsToCut = shouldCut ? windowsToCut + 1 : 0;
    windowsToRaise = hadIdleSlot ? windowsToRaise + 1 : 0;
    if (windowsToCut >= WINDOWS_TO_CUT) {
      cutoff = starved;
      windowsToCut = 0;
    } else if (windowsToRaise >= WINDOWS_TO_RAISE) {
      cutoff = Math.min(RANKS, cutoff + 1);
      windowsToRaise = 0;
    }
  };

  const startWindow = (): void => {
    windowStart = now();
    arrivals = arrivals.map(() => 0);
    refusals = refusals.map(() => 0);
    hadIdleSlot = false;
  };

  const rotateWindow = (): void => {
    const elapsed = now() - windowStart;
    if (elapsed < WINDOW_MILLISECONDS) return;
    // After a period without calls there is no load left to shed.
    if (elapsed >= WINDOW_MILLISECONDS * WINDOWS_TO_RAISE * RANKS) cutoff = RANKS;
    updateCutoff();
    startWindow();
  };

  return {
    rank: () => {
      rotateWindow();
      return cutoff;
    },
    recordArrival: (rank) => {
      rotateWindow();
      arrivals[rank] = (arrivals[rank] ?? 0) + 1;
    },
    recordRefusal: (rank) => {
      refusals[rank] = (refusals[rank] ?? 0) + 1;
    },
    recordIdleSlot: () => {
      rotateWindow();
      hadIdleSlot = true;
    },
  };
}
