import { createAdmissionController } from '@buckthornslip/admission';
import type { Clock } from '@buckthornslip/common';

import type { Serve } from './Attempt';
import type { UpstreamModel } from './createUpstreamModel';

/** Target for the wait in the node's queue, in milliseconds. */
const QUEUE_TARGET_MILLISECONDS = 100;

/** Creates the baseline: each attempt is sent directly to the upstream. */
export function createServeWithoutControl(clock: Clock, upstream: UpstreamModel): Serve {
  return (attempt) =>
    new Promise((resolve) => {
      const cancelTimer = clock.setTimer(attempt.deadlineMilliseconds, () => resolve('late'));
      void upstream.run().then(() => {
        cancelTimer();
        resolve('served');
      });
    });
}

/** Creates a function that sends each attempt through an admission controller to the upstream. */
export function createServeWithControl(
  clock: Clock,
  upstream: UpstreamModel,
  announcedSlots: number,
): Serve {
  const controller = createAdmissionController({ clock });
  controller.setCapacity({
    state: 'ready',
    slots: announcedSlots,
    coldStartMilliseconds: 0,
    queueTargetMilliseconds: QUEUE_TARGET_MILLISECONDS,
  });
  return async ({ account, priority, deadlineMilliseconds }) => {
    const deadline = clock.monotonicMilliseconds() + deadlineMilliseconds;
    const admission = await controller.admit({
      account,
      priority,
      depth: 0,
      remainingMilliseconds: deadlineMilliseconds,
      isolated: false,
    });
    if (!admission.ok) return 'refused';
    await upstream.run();
    admission.value.release('completed');
    return clock.monotonicMilliseconds() <= deadline ? 'served' : 'late';
  };
}
