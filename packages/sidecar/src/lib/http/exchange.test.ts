import type { AddressInfo, Socket } from 'node:net';
import { createServer } from 'node:net';

import { createCallScope } from '@buckthornslip/calls';
import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import { createConnectionAgent } from './createConnectionAgent';
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
  const agent = createConnectionAgent({
    address: `127.0.0.1:${port}`,
    maximumConnections: 4,
    idleMilliseconds: 1_000,
    connectMilliseconds: 300,
  });
  const get = (): Promise<ExchangeResult> => {
    const scope = createCallScope(clock, 1_000);
    return exchange({
      agent,
      method: 'GET',
      target: '/',
      headers: ['Host', 'calls.example'],
      body: { kind: 'whole', bytes: Buffer.alloc(0) },
      scope,
      isExpectedResponse: ({ headers }) => headers.foreign === undefined,
    }).finally(scope.end);
  };
  await use(get);
  agent.close();
  server.close();
}

// Guards against an answer without a length that was cut by a reset and is passed on as whole.
void t.test('an unframed answer that is reset is truncated', async (test) => {
  const reset = (socket: Socket): void => {
    socket.write(UNFRAMED);
    socket.resetAndDestroy();
  };
  await withServer(reset, async (get) => {
    test.match(await get(), { kind: 'failed', failure: 'truncated', sent: true });
  });
});

// Guards against refusing whole answers of upstreams that end them with the connection.
void t.test('an unframed answer that ends regularly is whole', async (test) => {
  const end = (socket: Socket): void => {
    socket.end(UNFRAMED);
  };
  await withServer(end, async (get) => {
    const result = await get();
    test.equal(result.kind === 'whole' && result.body.toString(), 'part');
  });
});

// Guards against an answer that is shorter than it says and looks complete.
void t.test('an answer below its length is truncated', async (test) => {
  const end = (socket: Socket): void => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart');
  };
  await withServer(end, async (get) => {
    test.match(await get(), { kind: 'failed', failure: 'truncated' });
  });
});

// Guards against bytes after an answer that are taken for the answer to the next request.
void t.test('a connection with unexpected bytes is not used again', async (test) => {
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

// Guards against a late answer of an earlier request, which only its id tells from the right one.
void t.test('an answer of another request is not taken', async (test) => {
  const foreign = (socket: Socket): void => {
    socket.write(FRAMED.replace('\r\n\r\n', '\r\nForeign: 1\r\n\r\n'));
  };
  await withServer(foreign, async (get) => {
    test.match(await get(), { kind: 'failed', failure: 'foreign', sent: true });
  });
});
