import type { ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { defaultConnectionLimits } from './defaultConnectionLimits';
import { guardConnections } from './guardConnections';

const CONNECTIONS = 200;
const BODY_BYTES = 60_000;

/** Bytes per connection that may be kept beside the bytes that wait, which are fewer than 1,000. */
const KEPT_BYTES = 16_384;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

// Guards against memory that the limit for kept bytes does not see: a few bytes that wait for the parser kept the whole read that
// they arrived in.
void t.test('a held request does not keep the read that it arrived in', async (test) => {
  const pending: ServerResponse[] = [];
  let uploads = 0;
  const server = createServer((request, response) => {
    if (request.method === 'GET') {
      pending.push(response);
      return;
    }
    request.resume().once('end', () => {
      uploads += 1;
      response.end();
    });
  });
  guardConnections(server, {
    clock: createSystemClock(),
    logger: createSilentLogger(),
    limits: defaultConnectionLimits,
    listener: 'test',
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const sockets: Socket[] = [];
  test.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
    server.closeAllConnections();
  });
  collectGarbage();
  const before = process.memoryUsage().arrayBuffers;
  const head = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
  const get = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
  const bytes = Buffer.from(head + 'x'.repeat(BODY_BYTES) + get.repeat(36));
  const { port } = server.address() as AddressInfo;
  for (let count = 0; count < CONNECTIONS; count += 1) {
    const socket = connect({ port, host: '127.0.0.1' });
    sockets.push(socket);
    socket.on('error', () => undefined).resume();
    socket.write(bytes);
  }
  const end = performance.now() + 10_000;
  while (uploads < CONNECTIONS && performance.now() < end) await sleep(20);
  await sleep(300);
  // Buffers that a first collection finds unused are freed shortly after it.
  collectGarbage();
  await sleep(100);
  collectGarbage();
  const kept = (process.memoryUsage().arrayBuffers - before) / CONNECTIONS;
  test.equal(uploads, CONNECTIONS);
  test.ok(pending.length >= CONNECTIONS * defaultConnectionLimits.requestsAhead);
  test.ok(kept < KEPT_BYTES, `${Math.round(kept)} bytes for each connection`);
});
