import type { Clock } from '@buckthornslip/common';
import { priorityRank } from '@buckthornslip/common';

/** Width of the groups of calls that leave the queue at about the same time, in milliseconds. */
const GROUP_MILLISECONDS = 50;

/** Groups in use at once. Calls that may stay longer count as if they left with the last group. */
const GROUPS = 32;

/** Number of standard deviations that the work of the calls ahead may stay below its expectation. */
const DEVIATIONS = 2;

/**
 * Share of the expected wait that counts, for costs that are learned from few calls. A call that is queued in vain takes
 * no slot and leaves at its latest start, while a call that is refused in error is lost, so the bound is on the low side.
 */
const CERTAIN_SHARE = 0.8;

/** A call as the bound sees it. */
interface WaitingCall {
  readonly rank: number;
  readonly expiresMilliseconds: number;
  readonly costMilliseconds: number;
}

/**
 * Lower bound of the time that a call has to wait: the calls of more urgent ranks that will not leave the queue before.
 * Calls of the same rank don't count, since fair queueing may let the new one pass them.
 *
 * @internal
 */
export interface WaitBound {
  readonly add: (call: WaitingCall) => void;
  readonly remove: (call: WaitingCall) => void;
  /**
   * @param rank - Rank of the waiting call.
   * @param untilMilliseconds - Monotonic time; calls that leave the queue before it don't count.
   * @param workPerMillisecond - Most work that the upstream may complete in a millisecond, at speed 1.
   * @returns Time in milliseconds.
   */
  readonly milliseconds: (
    rank: number,
    untilMilliseconds: number,
    workPerMillisecond: number,
  ) => number;
}

/**
 * @param clock - Source of time.
 * @returns The bound of an empty queue.
 * @internal
 */
export function createWaitBound(clock: Clock): WaitBound {
  const ranks = Object.keys(priorityRank).length;
  const work = new Float64Array(ranks * GROUPS);
  const counts = new Int32Array(ranks * GROUPS);
  const groupOf = (milliseconds: number): number => Math.floor(milliseconds / GROUP_MILLISECONDS);
  /** Calls are removed when they expire, so a group is empty when its number is used again. */
  const groups = new WeakMap<WaitingCall, number>();

  return {
    add: (call) => {
      const last = groupOf(clock.monotonicMilliseconds()) + GROUPS - 1;
      const group = Math.min(last, groupOf(call.expiresMilliseconds));
      const index = call.rank * GROUPS + (group % GROUPS);
      groups.set(call, index);
      work[index]! += call.costMilliseconds;
      counts[index]! += 1;
    },
    remove: (call) => {
      const index = groups.get(call);
      if (index === undefined) return;
      groups.delete(call);
      counts[index]! -= 1;
      work[index] = counts[index] === 0 ? 0 : work[index]! - call.costMilliseconds;
    },
    milliseconds: (rank, until, workPerMillisecond) => {
      const first = groupOf(until) + 1;
      const last = groupOf(clock.monotonicMilliseconds()) + GROUPS - 1;
      let sum = 0;
      let calls = 0;
      for (let other = 0; other < rank; other += 1) {
        for (let group = first; group <= last; group += 1) {
          const index = other * GROUPS + (group % GROUPS);
          sum += work[index]!;
          calls += counts[index]!;
        }
      }
      if (calls === 0 || !(workPerMillisecond > 0)) return 0;
      const certainShare = CERTAIN_SHARE * Math.max(0, 1 - DEVIATIONS / Math.sqrt(calls));
      return (certainShare * sum) / workPerMillisecond;
    },
  };
}
