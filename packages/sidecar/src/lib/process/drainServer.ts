import type { Server } from 'node:http';

import type { Clock } from '@buckthornslip/common';

/** How a listener is drained. */
interface DrainOptions {
  readonly clock: Clock;
  readonly server: Server;
  /** @returns Requests that have no complete answer yet. */
  readonly inProgress: () => number;
  /** Monotonic time at which the drain ends in any case, in milliseconds. */
  readonly deadline: number;
}

/** Time for which new connections are still taken, so that callers learn first that the node is not ready. */
const STILL_OPEN_MILLISECONDS = 2_500;

/** Time without a request in progress after which connections are closed, in milliseconds. */
const QUIET_MILLISECONDS = 300;

const CHECK_MILLISECONDS = 50;

/**
 * Drains a listener. It goes on taking requests for a while, because callers use open connections until they are told;
 * each answer asks them to close. It ends when no request has been in progress for a moment, or at the deadline.
 *
 * @param options - The listener and its requests.
 * @internal
 */
export async function drainServer(options: DrainOptions): Promise<void> {
  const { clock, deadline, inProgress, server } = options;
  const openUntil = Math.min(deadline, clock.monotonicMilliseconds() + STILL_OPEN_MILLISECONDS);
  while (clock.monotonicMilliseconds() < openUntil) await clock.sleep(CHECK_MILLISECONDS);
  server.close();
  let quietSince = clock.monotonicMilliseconds();
  while (clock.monotonicMilliseconds() < deadline) {
    if (inProgress() > 0) quietSince = clock.monotonicMilliseconds();
    if (clock.monotonicMilliseconds() - quietSince >= QUIET_MILLISECONDS) break;
    await clock.sleep(CHECK_MILLISECONDS);
  }
  server.closeIdleConnections();
  server.closeAllConnections();
}
