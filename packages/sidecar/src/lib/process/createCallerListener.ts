import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { RequestLimits } from '@buckthornslip/config';
import type { EventLogger } from '@buckthornslip/telemetry';

import { listenAt } from '../http/listenAt';

/** Listener for callers and for the upstream's own calls. */
export interface CallerListener {
  readonly server: Server;
  readonly listen: (address: string) => Promise<void>;
  readonly apply: (limits: RequestLimits) => void;
}

/** Idle time of callers before the policy names one, in milliseconds. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;

/** Callers may use a connection until just before the idle time; it is closed later than that, in milliseconds. */
const IDLE_MARGIN_MILLISECONDS = 2_000;

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/**
 * Creates the listener for callers.
 *
 * @param logger - Logger.
 * @param handle - Handles one request.
 * @returns The listener, not yet listening.
 * @internal
 */
export function createCallerListener(logger: EventLogger, handle: Handler): CallerListener {
  const server = createServer(
    {
      noDelay: true,
      requestTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS + IDLE_MARGIN_MILLISECONDS,
    },
    (request, response) => {
      handle(request, response).catch((error: unknown) => {
        logger.log('callFailed', { error: error instanceof Error ? error.stack : String(error) });
        response.destroy();
      });
    },
  );
  return {
    server,
    listen: (address) => listenAt(server, address),
    apply: ({ headMilliseconds, idleMilliseconds }) => {
      server.keepAliveTimeout = idleMilliseconds + IDLE_MARGIN_MILLISECONDS;
      // The time is counted from the accept; a slow caller gets some more.
      server.headersTimeout = headMilliseconds * 2;
    },
  };
}
