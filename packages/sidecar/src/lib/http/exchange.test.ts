import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';

import { createCallScope } from '@buckthornslip/calls';
import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import { createConnectionPool } from './createConnectionPool';
import { exchange } from './exchange';
import type { ExchangeResult } from './ExchangeResult';

const clock = createSystemClock();
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\npart';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

async function withServer(
  answer: (socket: Socket, connections: number) => void,
  use: (get: () => Promise<ExchangeResult>) => Promise<void>,
): Promise<void> {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    const count = connections;
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket, count));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const pool = createConnectionPool({
    address: `127.0.0.1:${port}`,
    maximumConnections: 4,
    idleMilliseconds: 1_000,
    connectMilliseconds: 300,
  });
  const get = (): Promise<ExchangeResult> => {
    const scope = createCallScope(clock, 1_000);
    return exchange({
      pool,
      method: 'GET',
      target: '/',
      headers: ['Host', 'calls.example'],
      body: { kind: 'whole', bytes: Buffer.alloc(0) },
      scope,
      isExpectedResponse: ({ headers }) => headers.foreign === undefined,
    }).finally(scope.end);
  };
  await use(get);
  pool.close();
  server.close();
}

// Guards against passing on a response without a length as complete although it was truncated by a reset.
void t.test('an unframed response that is reset is truncated', async (test) => {
  const reset = (socket: Socket): void => {
    socket.write(UNFRAMED);
    socket.resetAndDestroy();
  };
  await withServer(reset, async (get) => {
    test.match(await get(), { kind: 'failed', failure: 'truncated', sent: true });
  });
});

// Guards against rejecting complete responses of upstreams that delimit them by closing the connection.
void t.test('an unframed response that ends regularly is complete', async (test) => {
  const end = (socket: Socket): void => {
    socket.end(UNFRAMED);
  };
  await withServer(end, async (get) => {
    const result = await get();
    test.equal(result.kind === 'whole' && result.body.toString(), 'part');
  });
});

// Guards against a response that is shorter than its declared length and appears complete.
void t.test('a response shorter than its length is truncated', async (test) => {
  const end = (socket: Socket): void => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart');
  };
  await withServer(end, async (get) => {
    test.match(await get(), { kind: 'failed', failure: 'truncated' });
  });
});

// Guards against bytes after a response that are read as the response to the next request.
void t.test('a connection with unexpected bytes is not reused', async (test) => {
  const answerTwice = (socket: Socket, connections: number): void => {
    socket.write(FRAMED);
    if (connections === 1) setTimeout(() => socket.write(FRAMED.replace('ok', 'no')), 20);
  };
  await withServer(answerTwice, async (get) => {
    test.match(await get(), { kind: 'whole' });
    await clock.sleep(60);
    const second = await get();
    test.equal(second.kind === 'whole' && second.body.toString(), 'ok');
  });
});

// Guards against a late response to an earlier request, which can be distinguished only by its id.
void t.test('a response to another request is not accepted', async (test) => {
  const foreign = (socket: Socket): void => {
    socket.write(FRAMED.replace('\r\n\r\n', '\r\nForeign: 1\r\n\r\n'));
  };
  await withServer(foreign, async (get) => {
    test.match(await get(), { kind: 'failed', failure: 'foreign', sent: true });
  });
});
