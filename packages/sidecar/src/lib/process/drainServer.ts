import type { Server } from 'node:http';

import type { Clock } from '@buckthornslip/common';

/** How a listener is drained. */
interface DrainOptions {
  readonly clock: Clock;
  readonly server: Server;
  /** @returns Calls that the upstream runs; their own calls need new connections to this listener. */
  readonly running: () => number;
  /** @returns Requests that have no complete answer yet. */
  readonly inProgress: () => number;
  /** Monotonic time at which the drain ends in any case, in milliseconds. */
  readonly deadline: number;
}

/**
 * Time for which a stopping node takes calls of callers, in milliseconds, so that they learn first that it is not ready.
 *
 * @internal
 */
export const ACCEPTING_WHILE_STOPPING_MILLISECONDS = 2_500;

/** Time without a request in progress after which connections are closed, in milliseconds. */
const IDLE_MILLISECONDS = 300;

/**
 * Time before the deadline at which the listener is closed even if the upstream is at work, in milliseconds. A call that
 * begins later would hardly end in time.
 */
const CLOSE_BEFORE_DEADLINE_MILLISECONDS = 800;

const CHECK_MILLISECONDS = 50;

/**
 * Drains a listener. It goes on taking requests for a while, because callers use open connections until they are told;
 * each answer asks them to close. It ends when no request has been in progress for a moment, or at the deadline.
 *
 * @param options - The listener and its requests.
 * @internal
 */
export async function drainServer(options: DrainOptions): Promise<void> {
  const { clock, deadline, inProgress, running, server } = options;
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
  server.close();
  let idleSince = clock.monotonicMilliseconds();
  while (clock.monotonicMilliseconds() < deadline) {
    if (inProgress() > 0) idleSince = clock.monotonicMilliseconds();
    if (clock.monotonicMilliseconds() - idleSince >= IDLE_MILLISECONDS) break;
    await clock.sleep(CHECK_MILLISECONDS);
  }
  server.closeIdleConnections();
  server.closeAllConnections();
}
