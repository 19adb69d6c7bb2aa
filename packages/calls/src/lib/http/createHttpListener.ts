import type { IncomingMessage, ServerOptions, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';

import type { CallPathDependencies } from './CallPathDependencies';
import type { HttpLimits } from './HttpLimits';
import type { HttpListener } from './HttpListener';
import { refuse } from './refuse';
import { sendRefusal } from './sendRefusal';
import { stopAccepting } from './stopAccepting';
import { waitForQuietPoll } from './waitForQuietPoll';

/** Keep-alive timeout of idle connections, in milliseconds. Longer than the idle time of nodes' connection pools. */
const KEEP_ALIVE_MILLISECONDS = 60_000;

/** Interval at which Node.js checks connections for an exceeded head timeout, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500;

/** Wait at the start of a drain, in which requests that are already in flight arrive, in milliseconds. */
const LINGER_MILLISECONDS = 300;

/**
 * Handles one request. Resolves when the answer has been written or aborted.
 *
 * @internal
 */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

function serverOptions(limits: HttpLimits): ServerOptions {
  return {
    maxHeaderSize: limits.headBytes,
    headersTimeout: limits.headMilliseconds,
    // Bodies have their own timeouts: the idle timeout and the deadline of the call.
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
    insecureHTTPParser: false,
    noDelay: true,
  };
}

function rejectConnection(
  dependencies: CallPathDependencies,
  socket: Duplex,
  reason: 'header-invalid' | 'request-invalid' | 'request-timeout',
  status: string,
): void {
  dependencies.metrics.countRefusal(reason, 'not-run');
  dependencies.logger.log('connectionRejected', { reason });
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () =>
    socket.destroy(),
  );
}

function onClientError(
  dependencies: CallPathDependencies,
  error: NodeJS.ErrnoException,
  socket: Duplex,
  running: ReadonlySet<ServerResponse>,
): void {
  // An error response must not be written into another response, or after the last one of a connection.
  const started = [...running].filter(
    ({ headersSent, req }) => headersSent && req.socket === socket,
  );
  const last = started.at(-1);
  const isAnswering = started.some(({ writableEnded }) => !writableEnded);
  if (error.code === 'ECONNRESET' || isAnswering) socket.destroy();
  else if (last?.shouldKeepAlive === false) socket.end(() => socket.destroy());
  else if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    rejectConnection(dependencies, socket, 'request-timeout', '408 Request Timeout');
  } else rejectConnection(dependencies, socket, 'header-invalid', '400 Bad Request');
}

function refuseDraining(dependencies: CallPathDependencies): RequestHandler {
  return async (_request, response) => sendRefusal(dependencies, response, refuse('node-stopping'));
}

/**
 * Creates a listener that tracks calls in progress, so that it can be drained.
 *
 * @param dependencies - Clock, metrics and logger.
 * @param limits - Limits that protect the listener from slow or oversized requests.
 * @param handle - Handles each request.
 * @param handleDraining - Handles requests that arrive during a drain. By default they are refused.
 * @returns The listener.
 * @internal
 */
export function createHttpListener(
  dependencies: CallPathDependencies,
  limits: HttpLimits,
  handle: RequestHandler,
  handleDraining: RequestHandler = refuseDraining(dependencies),
): HttpListener {
  const running = new Set<ServerResponse>();
  let draining = false;
  const waiters = new Set<() => void>();
  const finishCall = (response: ServerResponse): void => {
    running.delete(response);
    if (running.size === 0) for (const waiter of [...waiters]) waiter();
  };
  const server = createServer(serverOptions(limits), (request, response) => {
    running.add(response);
    response.once('close', () => finishCall(response));
    response.on('error', () => undefined);
    if (draining) response.shouldKeepAlive = false;
    const handler = draining ? handleDraining : handle;
    handler(request, response).catch((error: unknown) => {
      dependencies.logger.log('callFailed', { error: String(error) });
      response.destroy();
    });
  });
  server.maxConnections = limits.connections;
  server.on('clientError', (error, socket) => onClientError(dependencies, error, socket, running));
  const rejectUpgrade = (_request: IncomingMessage, socket: Duplex): void =>
    rejectConnection(dependencies, socket, 'request-invalid', '400 Bad Request');
  server.on('upgrade', rejectUpgrade).on('connect', rejectUpgrade);

  const waitUntilIdle = async (): Promise<void> => {
    if (running.size > 0)
      await new Promise<void>((resolve) => {
        waiters.add(resolve);
      });
  };
  return {
    listen: ({ address, port }) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, address, () => {
          server.off('error', reject);
          resolve();
        });
      }),
    address: () => server.address() as AddressInfo,
    drain: async () => {
      draining = true;
      for (const response of running) response.shouldKeepAlive = false;
      // During this time, requests on new and idle connections get a "not-run" refusal instead of a reset.
      await dependencies.clock.sleep(LINGER_MILLISECONDS);
      await stopAccepting(server);
      do {
        await waitUntilIdle();
        // A request may have arrived on an idle connection.
        await waitForQuietPoll(server);
      } while (running.size > 0);
      server.closeIdleConnections();
    },
    close: async () => {
      draining = true;
      await stopAccepting(server);
      server.closeAllConnections();
    },
  };
}
