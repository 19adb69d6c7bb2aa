import { createServer, request as httpRequest } from 'node:http';

import { ports } from './settings.mjs';

const HEARTBEAT_MILLISECONDS = 1500;

/** Writes a whole answer of a backend. */
export function answer(request, response, body) {
  response.writeHead(200, {
    'X-Request-Id': request.headers['x-request-id'],
    'X-Response-Signature': `signed-${request.headers['x-request-id']}`,
    'Content-Length': body.length,
  });
  response.end(body);
}

/** A stand-in of a backend. `run` serves a request that the backend accepts; it has run from then on. */
export function createBackend({ address, id, service, zone, run, record }) {
  const sockets = new Set();
  let born = 0;
  let sequence = 0;
  let timer;
  let server;
  let state = 'ready';

  const handle = (request, response) => {
    const requestId = request.headers['x-request-id'];
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== id) {
      record(`backend ${id} rejects ${requestId} with 421: it expects ${expected}`);
      response.writeHead(421, { 'X-Instance-Id': id, 'X-Request-Id': requestId });
      response.end();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      record(`backend ${id} runs ${requestId} ${request.method} ${request.url}`);
      run(request, response, Buffer.concat(chunks));
    });
  };

  const post = (path, body) =>
    new Promise((resolve) => {
      const call = httpRequest(
        { host: address, port: ports.admin, path, method: 'POST', timeout: 1000 },
        (response) => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      call.on('timeout', () => call.destroy());
      call.on('error', () => resolve(0));
      call.end(body);
    });

  /** The body of the next heartbeat. */
  const nextBeat = () => {
    sequence += 1;
    const place = { service, address: `${address}:${ports.app}`, zone, version: 'v1', slots: 64 };
    return JSON.stringify({ ...place, state, warmupLeft: '0ms', seq: sequence, born });
  };
  const sendBeat = (body) => post(`/instances/${id}/heartbeat`, body);

  const stopBeats = () => clearInterval(timer);
  const startBeats = () => {
    stopBeats();
    sendBeat(nextBeat());
    timer = setInterval(() => sendBeat(nextBeat()), HEARTBEAT_MILLISECONDS);
  };

  return {
    id,
    nextBeat,
    sendBeat,
    startBeats,
    stopBeats,
    start: async () => {
      born = Date.now();
      sequence = 0;
      state = 'ready';
      server = createServer({ keepAliveTimeout: 10_000 }, handle);
      server.on('connection', (socket) => {
        sockets.add(socket);
        socket.once('close', () => sockets.delete(socket));
      });
      await new Promise((resolve) => {
        server.listen(ports.app, address, resolve);
      });
      startBeats();
    },
    deregister: () => {
      stopBeats();
      return post(`/instances/${id}/deregister`, '');
    },
    /** Ends the backend at once; its connections are reset. */
    end: () => {
      stopBeats();
      server?.close();
      sockets.forEach((socket) => socket.resetAndDestroy());
    },
  };
}
