import type { Clock } from '@buckthornslip/common';

import type { QueuedCall } from '../queue/QueuedCall';
import { createRunningWork } from './createRunningWork';
import { createSpeedEstimate } from './createSpeedEstimate';
import { createWaitBound } from './createWaitBound';

/**
 * Expected work of the local upstream: the remaining cost of its running calls and the cost of the queued ones, in
 * milliseconds at speed 1.
 *
 * @internal
 */
export interface UpstreamWork {
  readonly enqueue: (call: QueuedCall) => void;
  readonly dequeue: (call: QueuedCall) => void;
  /**
   * @param call - A call that would have to wait.
   * @param limit - Calls that may run at once.
   * @returns Whether it can't start in time to meet its deadline.
   */
  readonly isTooLate: (call: QueuedCall, limit: number) => boolean;
  /** @returns Number of the call that starts now, for its end. */
  readonly start: (costMilliseconds: number) => number;
  readonly end: (call: number) => void;
  /** Records the time that the upstream took for a call that completed. */
  readonly recordTime: (costMilliseconds: number, tookMilliseconds: number) => void;
  readonly speed: () => number;
  readonly milliseconds: () => number;
}

/**
 * @param clock - Source of time.
 * @returns The work of an idle upstream.
 * @internal
 */
export function createUpstreamWork(clock: Clock): UpstreamWork {
  const running = createRunningWork(clock.monotonicMilliseconds);
  const speed = createSpeedEstimate(clock.monotonicMilliseconds);
  const waitBound = createWaitBound(clock);
  let queuedMilliseconds = 0;
  let queuedCalls = 0;
  return {
    enqueue: (call) => {
      queuedCalls += 1;
      queuedMilliseconds += call.costMilliseconds;
      waitBound.add(call);
    },
    dequeue: (call) => {
      queuedCalls -= 1;
      waitBound.remove(call);
      // The sum of many additions and subtractions drifts, so it starts again from zero with each empty queue.
      queuedMilliseconds =
        queuedCalls === 0 ? 0 : Math.max(0, queuedMilliseconds - call.costMilliseconds);
    },
    isTooLate: (call, limit) => {
      const { latestStartMilliseconds, rank } = call;
      // A call that reaches the queue target first may be served until then.
      if (latestStartMilliseconds > call.expiresMilliseconds) return false;
      const workPerMillisecond = limit * speed.highest();
      const wait = waitBound.milliseconds(rank, latestStartMilliseconds, workPerMillisecond);
      return clock.monotonicMilliseconds() + wait > latestStartMilliseconds;
    },
    start: running.start,
    end: running.end,
    recordTime: speed.add,
    speed: speed.current,
    milliseconds: () => running.remainingMilliseconds(speed.current()) + queuedMilliseconds,
  };
}
