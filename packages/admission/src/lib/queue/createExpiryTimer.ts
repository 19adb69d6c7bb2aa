import type { Clock } from '@buckthornslip/common';
import { createBinaryHeap } from '@buckthornslip/common';

import type { QueuedCall } from './QueuedCall';

/**
 * Expires queued calls, using one timer for all of them.
 *
 * @internal
 */
export interface ExpiryTimer {
  readonly add: (call: QueuedCall) => void;
}

/**
 * @param clock - Source of time.
 * @param isQueued - Whether a call is still queued.
 * @param expire - Removes an expired call from the queue.
 * @returns An expiry timer without calls.
 * @internal
 */
export function createExpiryTimer(
  clock: Clock,
  isQueued: (call: QueuedCall) => boolean,
  expire: (call: QueuedCall) => void,
): ExpiryTimer {
  const heap = createBinaryHeap<QueuedCall>(
    (first, second) => first.expiresMilliseconds < second.expiresMilliseconds,
  );
  let cancelTimer: (() => void) | undefined;
  let timerDue = Infinity;

  const arm = (): void => {
    const due = heap.peek()?.expiresMilliseconds ?? Infinity;
    if (due === timerDue) return;
    cancelTimer?.();
    timerDue = due;
    cancelTimer =
      due === Infinity ? undefined : clock.setTimer(due - clock.monotonicMilliseconds(), expireDue);
  };

  function expireDue(): void {
    timerDue = Infinity;
    const now = clock.monotonicMilliseconds();
    let call = heap.peek();
    while (call && (call.expiresMilliseconds <= now || !isQueued(call))) {
      heap.pop();
      if (isQueued(call)) expire(call);
      call = heap.peek();
    }
    arm();
  }

  return {
    add: (call) => {
      heap.push(call);
      arm();
    },
  };
}
