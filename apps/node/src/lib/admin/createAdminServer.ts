import { createServer, type ServerResponse } from 'node:http';

import type { ListenAddress } from '@buckthornslip/config';
import type { Metrics } from '@buckthornslip/telemetry';

import type { AdminServer } from './AdminServer';

/** Readiness of the process. */
interface Health {
  /** @returns Why the node is not ready, or undefined if it is. */
  readonly notReadyReason: () => string | undefined;
}

function sendText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  response.end(`${text}\n`);
}

/**
 * Creates the HTTP listener for operators, with metrics, liveness and readiness.
 *
 * @param metrics - Metrics of the process.
 * @param health - Readiness of the process.
 * @returns The server, not listening.
 * @internal
 */
export function createAdminServer(metrics: Metrics, health: Health): AdminServer {
  const { registry } = metrics;
  const handlers: Readonly<Record<string, (response: ServerResponse) => void | Promise<void>>> = {
    '/metrics': async (response) => {
      const text = await registry.metrics();
      response.writeHead(200, { 'content-type': registry.contentType });
      response.end(text);
    },
    '/healthz': (response) => sendText(response, 200, 'ok'),
    '/readyz': (response) => {
      const reason = health.notReadyReason();
      sendText(response, reason === undefined ? 200 : 503, reason ?? 'ready');
    },
  };
  const server = createServer((request, response) => {
    const handler = handlers[request.url ?? ''];
    if (!handler || request.method !== 'GET') {
      sendText(response, handler ? 405 : 404, handler ? 'method not allowed' : 'not found');
      return;
    }
    void handler(response);
  });
  return {
    listen: ({ address, port }: ListenAddress) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, address, () => {
          server.off('error', reject);
          resolve();
        });
      }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
