import { createServer, request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const HEARTBEAT_MS = 1_500;

/** A heartbeat counts as acknowledged if the answer arrives within a second. */
const ACKNOWLEDGE_MS = 1_000;

function post(target, path, body) {
  return new Promise((resolve) => {
    const [host, port] = target.split(':');
    const request = httpRequest(
      {
        host,
        port,
        path,
        method: 'POST',
        headers: { 'Content-Type': 'application/json' },
        agent: false,
        timeout: ACKNOWLEDGE_MS,
      },
      (response) => {
        response.resume();
        response.once('end', () => resolve(response.statusCode));
        response.once('error', () => resolve(0));
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(0));
    request.end(JSON.stringify(body));
  });
}

/**
 * A back end beside one node. It runs what it receives if the request names it, and reports each run.
 *
 * @param options - id, service, zone, address, admin (where heartbeats go), slots, work (function that runs a request), onRun,
 *   onEnd.
 */
export function createBackEnd(options) {
  const { address, id, onRun, service, slots = 64, work, zone } = options;
  const born = Date.now();
  let { admin } = options;
  let sequence = 0;
  let timer;

  const server = createServer({ keepAliveTimeout: 10_000 }, async (request, response) => {
    const requestId = request.headers['x-request-id'];
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Request-Id': requestId, 'X-Instance-Id': id });
      response.end();
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': id }).end();
      return;
    }
    request.resume();
    onRun({ id: requestId, backEnd: id, path: request.url, tenant: request.headers['x-tenant'] });
    const body = await work(request, response);
    if (response.destroyed) return;
    response.writeHead(200, {
      'X-Request-Id': requestId,
      'X-Response-Signature': `signed.${requestId}`,
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  });

  const beat = (state) => {
    sequence += 1;
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      warmupLeft: '0ms',
      seq: sequence,
      born,
    };
  };
  const sendHeartbeat = (state = 'ready', target = admin) =>
    post(target, `/instances/${id}/heartbeat`, beat(state));

  return {
    id,
    start: async () => {
      const [host, port] = address.split(':');
      await new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(Number(port), host, resolve);
      });
      void sendHeartbeat();
      timer = setInterval(() => {
        void sendHeartbeat();
      }, HEARTBEAT_MS);
    },
    /** Sends heartbeats to another address from now on. */
    setAdmin: (next) => {
      admin = next;
    },
    sendHeartbeat,
    stopHeartbeats: () => clearInterval(timer),
    /** Repeats until it is acknowledged, for a few seconds at most. */
    deregister: async () => {
      clearInterval(timer);
      for (let attempts = 0; attempts < 5; attempts += 1) {
        if ((await post(admin, `/instances/${id}/deregister`, { born })) === 200) return true;
        await sleep(200);
      }
      return false;
    },
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
