import type { CallId, Clock } from '@buckthornslip/common';

import type { RepeatTracker } from './RepeatTracker';

/** Minimum number of tracked parents at which expired ones are removed. */
const SWEEP_THRESHOLD = 1_024;

interface Parent {
  readonly fingerprints: Set<string>;
  readonly deadlineWallMilliseconds: number;
}

/**
 * Creates a tracker. Its memory is bounded by the number of parent calls whose deadline has not passed.
 *
 * @param clock - Source of wall-clock time.
 * @returns The tracker.
 * @internal
 */
export function createRepeatTracker(clock: Clock): RepeatTracker {
  const parents = new Map<CallId, Parent>();
  let sweepAtSize = SWEEP_THRESHOLD;

  const sweep = (): void => {
    const nowMilliseconds = clock.wallMilliseconds();
    for (const [id, parent] of parents) {
      if (parent.deadlineWallMilliseconds < nowMilliseconds) parents.delete(id);
    }
    // Doubling the threshold keeps the amortized cost of a sweep constant while many parents are active.
    sweepAtSize = Math.max(SWEEP_THRESHOLD, parents.size * 2);
  };

  return {
    isRepeat: (parentId, fingerprint, parentDeadlineWallMilliseconds) => {
      if (parents.size >= sweepAtSize) sweep();
      const parent = parents.get(parentId) ?? {
        fingerprints: new Set<string>(),
        deadlineWallMilliseconds: parentDeadlineWallMilliseconds,
      };
      parents.set(parentId, parent);
      const known = parent.fingerprints.has(fingerprint);
      parent.fingerprints.add(fingerprint);
      return known;
    },
  };
}
