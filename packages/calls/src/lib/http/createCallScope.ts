import type { Clock, RefusalReason } from '@buckthornslip/common';

import type { CallScope } from './CallScope';

/**
 * Creates the cancellation scope of a call.
 *
 * @param clock - Source of time.
 * @param timeoutMilliseconds - Time until the deadline, in milliseconds.
 * @param graceMilliseconds - Time between the deadline and the cancellation here. A node that waits for another node
 *   gives it this time to report the exceeded deadline itself, since that node knows whether the call has run.
 * @returns The scope.
 * @internal
 */
export function createCallScope(
  clock: Clock,
  timeoutMilliseconds: number,
  graceMilliseconds = 0,
): CallScope {
  const deadlineMilliseconds = clock.monotonicMilliseconds() + timeoutMilliseconds;
  const callbacks = new Set<() => void>();
  let controller: AbortController | undefined;
  let reason: RefusalReason | undefined;
  const cancel = (given: RefusalReason): void => {
    if (reason !== undefined) return;
    reason = given;
    controller?.abort();
    for (const callback of [...callbacks]) callback();
    callbacks.clear();
  };
  const stopTimer = clock.setTimer(Math.max(0, timeoutMilliseconds + graceMilliseconds), () =>
    cancel('deadline-exceeded'),
  );
  const createController = (): AbortController => {
    const created = new AbortController();
    if (reason !== undefined) created.abort();
    return created;
  };
  return {
    deadlineMilliseconds,
    get signal() {
      controller ??= createController();
      return controller.signal;
    },
    onCancel: (callback) => {
      if (reason !== undefined) callback();
      else callbacks.add(callback);
      return () => callbacks.delete(callback);
    },
    cancel,
    cancelReason: () => reason,
    remainingMilliseconds: () => deadlineMilliseconds - clock.monotonicMilliseconds(),
    end: stopTimer,
  };
}
