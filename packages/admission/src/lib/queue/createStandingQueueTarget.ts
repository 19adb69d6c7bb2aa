import type { Clock } from '@buckthornslip/common';

/** Share of the target that a call may wait while the queue has not been empty for a whole target. */
const STANDING_QUEUE_SHARE = 0.5;

/**
 * Longest wait in the queue, after the rule of controlled delay: a burst may wait for the whole
 * target, but a queue that stays is kept short, because its delay gains nothing.
 *
 * @internal
 */
export interface StandingQueueTarget {
  /** Notes that no call waits. */
  readonly recordEmpty: () => void;
  /** @returns The longest wait of a call that arrives now, in milliseconds. */
  readonly current: (targetMilliseconds: number) => number;
}

/**
 * @param clock - Source of time.
 * @returns A target for an empty queue.
 * @internal
 */
export function createStandingQueueTarget(clock: Clock): StandingQueueTarget {
  let lastEmpty = clock.monotonicMilliseconds();
  return {
    recordEmpty: () => {
      lastEmpty = clock.monotonicMilliseconds();
    },
    current: (target) => {
      const isStanding = clock.monotonicMilliseconds() - lastEmpty > target;
      return isStanding ? target * STANDING_QUEUE_SHARE : target;
    },
  };
}
