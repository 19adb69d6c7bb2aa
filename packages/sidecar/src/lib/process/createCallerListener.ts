import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import { stopAccepting, waitForQuietPoll } from '@buckthornslip/calls';
import type { RequestLimits } from '@buckthornslip/config';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ConnectionGuardOptions } from '../http/connections/guardConnections';
import { guardConnections } from '../http/connections/guardConnections';
import { listenAt } from '../http/listenAt';

const UNKNOWN_OUTCOME_STATUS = 502;

/** HTTP listener for requests of callers and of the local upstream. */
export interface CallerListener {
  readonly listen: (address: string) => Promise<void>;
  readonly apply: (limits: RequestLimits) => void;
  /** Closes the listener; open connections stay open. */
  readonly stopAccepting: () => Promise<void>;
  /** Waits until requests that have arrived were read. */
  readonly poll: () => Promise<void>;
  /** Closes all connections at once. */
  readonly closeConnections: () => void;
}

/** Idle timeout of callers' connections until a policy sets one, in milliseconds. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;

/**
 * Margin by which connections outlive the idle timeout, as callers may reuse them until just before it, in
 * milliseconds.
 */
const IDLE_MARGIN_MILLISECONDS = 2_000;

/** Ends a response after an unexpected error. The call may have run, so the status promises nothing. */
function endAfterError(response: ServerResponse): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(UNKNOWN_OUTCOME_STATUS, { Connection: 'close', 'Content-Length': 0 });
  response.end();
}

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/**
 * Creates the listener for callers.
 *
 * @param logger - Logger.
 * @param handle - Handles one request.
 * @param guard - Limits that protect the listener from its callers.
 * @returns A listener that is not listening yet.
 * @internal
 */
export function createCallerListener(
  logger: EventLogger,
  handle: Handler,
  guard: Omit<ConnectionGuardOptions, 'listener' | 'logger'>,
): CallerListener {
  const server = createServer(
    {
      noDelay: true,
      requestTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS + IDLE_MARGIN_MILLISECONDS,
    },
    (request, response) => {
      handle(request, response).catch((error: unknown) => {
        logger.log('callFailed', { error: error instanceof Error ? error.stack : String(error) });
        endAfterError(response);
      });
    },
  );
  guardConnections(server, { ...guard, logger, listener: 'callers' });
  return {
    listen: (address) => listenAt(server, address),
    apply: ({ headMilliseconds, idleMilliseconds }) => {
      server.keepAliveTimeout = idleMilliseconds + IDLE_MARGIN_MILLISECONDS;
      // Node.js measures this timeout from the accept of the connection, so a slow caller gets extra time.
      server.headersTimeout = headMilliseconds * 2;
    },
    stopAccepting: () => stopAccepting(server),
    poll: () => waitForQuietPoll(server),
    closeConnections: () => server.closeAllConnections(),
  };
}
