import type { Clock } from '@buckthornslip/common';

/** Share of the target that a call may wait once the queue has been non-empty for longer than the target. */
const STANDING_QUEUE_SHARE = 0.5;

/**
 * Maximum queueing delay, following CoDel (controlled delay): a burst may wait for the whole target, but a standing
 * queue is kept shorter, because it adds latency without adding throughput.
 *
 * @internal
 */
export interface StandingQueueTarget {
  /** Records that the queue is empty. */
  readonly recordEmpty: () => void;
  /** @returns The maximum wait of a call that arrives now, in milliseconds. */
  readonly current: (targetMilliseconds: number) => number;
}

/**
 * @param clock - Source of time.
 * @returns A target that treats the queue as empty.
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
