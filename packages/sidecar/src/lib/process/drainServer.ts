import type { Clock } from '@buckthornslip/common';

import type { CallerListener } from './createCallerListener';

/** Dependencies and deadline of a drain. */
interface DrainOptions {
  readonly clock: Clock;
  readonly listener: Pick<CallerListener, 'closeConnections' | 'poll' | 'stopAccepting'>;
  /** @returns Calls that the upstream is running; their nested calls need new connections to this listener. */
  readonly running: () => number;
  /** @returns Requests without a complete response. */
  readonly inProgress: () => number;
  /** Monotonic time by which the drain ends, in milliseconds. */
  readonly deadline: number;
}

/**
 * Time for which a stopping node accepts requests of callers, in milliseconds, so that they can see first that it is
 * not ready.
 *
 * @internal
 */
export const ACCEPTING_WHILE_STOPPING_MILLISECONDS = 2_500;

/** Time without requests in progress after which connections are closed, in milliseconds. */
const IDLE_MILLISECONDS = 300;

/**
 * Time before the deadline at which the listener is closed even if the upstream is running calls, in milliseconds. A
 * call that starts later would rarely complete in time.
 */
const CLOSE_BEFORE_DEADLINE_MILLISECONDS = 800;

const CHECK_MILLISECONDS = 50;

/**
 * Drains a listener. It continues to accept requests for a grace period, because callers reuse open connections until a
 * response asks them to close. The drain ends after a short time without requests in progress, or at the deadline.
 *
 * @param options - The listener and its requests.
 * @internal
 */
export async function drainServer(options: DrainOptions): Promise<void> {
  const { clock, deadline, inProgress, listener, running } = options;
  const openUntil = Math.min(
    deadline,
    clock.monotonicMilliseconds() + ACCEPTING_WHILE_STOPPING_MILLISECONDS,
  );
  const isOpen = (): boolean => {
    const now = clock.monotonicMilliseconds();
    return (
      now < openUntil || (running() > 0 && now < deadline - CLOSE_BEFORE_DEADLINE_MILLISECONDS)
    );
  };
  while (isOpen()) await clock.sleep(CHECK_MILLISECONDS);
  await listener.stopAccepting();
  let idleSince = clock.monotonicMilliseconds();
  while (clock.monotonicMilliseconds() < deadline) {
    // Requests may have arrived on idle connections.
    await listener.poll();
    if (inProgress() > 0) idleSince = clock.monotonicMilliseconds();
    if (clock.monotonicMilliseconds() - idleSince >= IDLE_MILLISECONDS) break;
    await clock.sleep(CHECK_MILLISECONDS);
  }
  listener.closeConnections();
}
