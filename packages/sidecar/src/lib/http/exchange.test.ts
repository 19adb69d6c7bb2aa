import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { Readable } from 'node:stream';

import { createCallScope } from '@buckthornslip/calls';
import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import type { ConnectionPool } from './ConnectionPool';
import { createConnectionPool } from './createConnectionPool';
import { exchange } from './exchange';
import type { ExchangeRequest } from './ExchangeRequest';
import type { ExchangeResult } from './ExchangeResult';

const clock = createSystemClock();
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

/** A request without a body that takes any response for its own. */
const ANY_RESPONSE: Omit<ExchangeRequest, 'pool' | 'scope'> = {
  method: 'GET',
  target: '/',
  headers: ['Host', 'calls.example'],
  body: { kind: 'whole', bytes: Buffer.alloc(0) },
  isExpectedResponse: () => true,
};

const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\npart';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

async function listenWithPool(server: Server, maximumConnections: number): Promise<ConnectionPool> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return createConnectionPool({
    clock,
    address: `127.0.0.1:${port}`,
    maximumConnections,
    idleMilliseconds: 1_000,
    connectMilliseconds: 300,
  });
}

function getWithin(
  milliseconds: number,
  request: Pick<ExchangeRequest, 'pool' | 'target' | 'isExpectedResponse' | 'retiresConnection'>,
): Promise<ExchangeResult> {
  const scope = createCallScope(clock, milliseconds);
  return exchange({ ...ANY_RESPONSE, scope, ...request }).finally(scope.end);
}

async function withServer(
  answer: (socket: Socket, connections: number) => void,
  use: (get: () => Promise<ExchangeResult>, pool: ConnectionPool) => Promise<void>,
): Promise<void> {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    const count = connections;
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket, count));
  });
  const pool = await listenWithPool(server, 4);
  const get = (): Promise<ExchangeResult> =>
    getWithin(1_000, {
      pool,
      target: '/',
      isExpectedResponse: ({ headers }) => headers.foreign === undefined,
    });
  await use(get, pool);
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

/** @returns Whether a long response ends as if it were complete, and its length without the part that came first. */
async function readRest(result: ExchangeResult): Promise<{ isWhole: boolean; bytes: number }> {
  if (result.kind !== 'stream') throw new Error(`expected a long response, got ${result.kind}`);
  const { rest } = result;
  let bytes = 0;
  let isWhole = false;
  rest.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  rest.once('end', () => {
    isWhole = true;
  });
  rest.on('error', () => undefined);
  const closed = new Promise((resolve) => {
    rest.once('close', resolve);
  });
  rest.resume();
  if (!rest.closed) await closed;
  return { isWhole, bytes };
}

const LONG_BYTES = 200_000;
const NO_LENGTH = 'HTTP/1.1 200 OK\r\n\r\n';

// Guards against a long response without a length that is passed on as complete although a reset truncated it: with the reset
// directly behind the data, after a pause, and while the rest is not read.
void t.test('a long unframed response that is reset does not appear complete', async (test) => {
  for (const pauseMilliseconds of [0, 20, 100]) {
    for (const readDelayMilliseconds of [0, 60]) {
      const reset = (socket: Socket): void => {
        socket.write(`${NO_LENGTH}${'x'.repeat(LONG_BYTES)}`);
        setTimeout(() => {
          socket.write('x'.repeat(1_000));
          socket.resetAndDestroy();
        }, pauseMilliseconds);
      };
      await withServer(reset, async (get) => {
        const result = await get();
        // With the reset directly behind it, the beginning may be lost as well.
        if (pauseMilliseconds === 0 && result.kind === 'failed') return;
        await clock.sleep(readDelayMilliseconds);
        const { isWhole } = await readRest(result);
        test.notOk(isWhole, `${pauseMilliseconds} ms, read after ${readDelayMilliseconds} ms`);
      });
    }
  }
});

// Guards against rejecting long responses that end regularly with their connection, also if they are read slowly.
void t.test('a long unframed response that ends regularly is complete', async (test) => {
  const end = (socket: Socket): void => {
    socket.end(`${NO_LENGTH}${'x'.repeat(LONG_BYTES)}`);
  };
  for (const readDelayMilliseconds of [0, 60]) {
    await withServer(end, async (get) => {
      const result = await get();
      await clock.sleep(readDelayMilliseconds);
      const { bytes, isWhole } = await readRest(result);
      const headBytes = result.kind === 'stream' ? result.head.length : 0;
      test.ok(isWhole);
      test.equal(headBytes + bytes, LONG_BYTES);
    });
  }
});

// Guards against a response that is delivered without its last part, but with its end, because its deadline passes after
// all of it has been received and before it has been read.
void t.test('a long response that is read after its deadline is not shortened', async (test) => {
  const partBytes = 5_000;
  const answer = (socket: Socket): void => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${LONG_BYTES + partBytes}\r\n\r\n`);
    socket.write('x'.repeat(LONG_BYTES));
    setTimeout(() => socket.write('x'.repeat(partBytes)), 50);
  };
  await withServer(answer, async (_get, pool) => {
    const scope = createCallScope(clock, 200);
    const result = await exchange({ ...ANY_RESPONSE, pool, scope });
    await clock.sleep(400);
    const { bytes, isWhole } = await readRest(result);
    const headBytes = result.kind === 'stream' ? result.head.length : 0;
    test.ok(isWhole);
    test.equal(headBytes + bytes, LONG_BYTES + partBytes);
  });
});

// Guards against a response whose parts are lost or exchanged because its first part is shorter than what has arrived.
void t.test('a response is split after the longest first part', async (test) => {
  const headBytes = 10_000;
  const body = Buffer.from(Array.from({ length: LONG_BYTES }, (_, index) => index % 251));
  const answer = (socket: Socket): void => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`);
    socket.write(body);
  };
  await withServer(answer, async (_get, pool) => {
    const scope = createCallScope(clock, 5_000);
    const result = await exchange({ ...ANY_RESPONSE, pool, scope, headBytes });
    scope.end();
    if (result.kind !== 'stream') throw new Error(`expected a long response, got ${result.kind}`);
    const rest: Buffer[] = await result.rest.toArray();
    test.equal(result.head.length, headBytes);
    test.ok(Buffer.concat([result.head, ...rest]).equals(body));
  });
});

// Guards against a response in chunks or with a length that appears complete although its connection ended early.
void t.test('a long framed response that is cut off does not appear complete', async (test) => {
  const heads = {
    chunks: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${(300_000).toString(16)}\r\n`,
    length: 'HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n',
  };
  const ends = {
    reset: (socket: Socket) => socket.resetAndDestroy(),
    end: (socket: Socket) => socket.end(),
  };
  for (const [framing, head] of Object.entries(heads)) {
    for (const [name, end] of Object.entries(ends)) {
      const cut = (socket: Socket): void => {
        socket.write(`${head}${'x'.repeat(LONG_BYTES)}`);
        setTimeout(() => end(socket), 20);
      };
      await withServer(cut, async (get) => {
        const { isWhole } = await readRest(await get());
        test.notOk(isWhole, `${framing}, ${name}`);
      });
    }
  }
});

// Guards against passing on a response whose head was cut off as a complete one without a body.
void t.test('a response that ends within its head is no response', async (test) => {
  const head = 'HTTP/1.1 200 OK\r\nX-Signature: signed\r\nContent-Length: 2\r\n\r\n';
  const unframed = 'HTTP/1.1 200 OK\r\nX-Signature: signed\r\nX-Other: 1\r\n\r\n';
  for (const whole of [head, unframed]) {
    for (let length = 0; length < whole.length; length += 1) {
      const cut = (socket: Socket): void => {
        socket.end(whole.slice(0, length));
      };
      await withServer(cut, async (get) => {
        const result = await get();
        test.equal(result.kind, 'failed', `${length} bytes`);
      });
    }
  }
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

// Guards against a complete response in many small chunks that is taken for a truncated one, or loses some of them.
void t.test('a response in many chunks is complete', async (test) => {
  for (const chunks of [63, 64, 65, 500, 40_000]) {
    const answer = (socket: Socket): void => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      socket.write(`${'3\r\nabc\r\n'.repeat(chunks)}0\r\n\r\n`);
    };
    await withServer(answer, async (_get, pool) => {
      for (let requests = 0; requests < 3; requests += 1) {
        const result = await getWithin(10_000, { ...ANY_RESPONSE, pool });
        test.equal(result.kind === 'whole' && result.body.toString(), 'abc'.repeat(chunks));
      }
    });
  }
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

/** Answers each request with its path as the id, and lets the test write further bytes on the connection. */
async function withEchoServer(
  afterAnswer: (socket: Socket, id: string, requests: number) => void,
  use: (get: (id: string) => Promise<ExchangeResult>) => Promise<void>,
): Promise<void> {
  let requests = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => {
      requests += 1;
      const id = /^GET \/(\S*)/.exec(bytes.toString('latin1'))?.[1] ?? '';
      afterAnswer(socket, id, requests);
    });
  });
  const pool = await listenWithPool(server, 1);
  const get = (id: string): Promise<ExchangeResult> =>
    getWithin(1_000, {
      pool,
      target: `/${id}`,
      isExpectedResponse: ({ headers }) => headers['x-id'] === id,
      retiresConnection: ({ statusCode }) => statusCode === 503,
    });
  await use(get);
  pool.close();
  server.close();
}

function answerOf(id: string, status = 200): string {
  return `HTTP/1.1 ${status} Status\r\nX-Id: ${id}\r\nContent-Length: ${id.length}\r\n\r\n${id}`;
}

// Guards against a second copy of an answer that arrives while the connection is in use again and is taken for the
// answer to the next request.
void t.test(
  'a late copy of an earlier answer is not the answer to the next request',
  async (test) => {
    const copyWithNext = (socket: Socket, id: string, requests: number): void => {
      if (requests === 1) socket.write(answerOf(id));
      else {
        socket.write(answerOf('first'));
        setTimeout(() => socket.write(answerOf(id)), 20);
      }
    };
    await withEchoServer(copyWithNext, async (get) => {
      test.match(await get('first'), { kind: 'whole' });
      test.match(await get('second'), { kind: 'failed', failure: 'foreign', sent: true });
    });
  },
);

// Guards against a copy that directly follows an answer in the same segment, also behind the head of the next answer.
void t.test('bytes of another answer behind a complete one are never used', async (test) => {
  const twoCopies = (socket: Socket, id: string): void => {
    socket.write(`${answerOf(id)}${answerOf('first')}`);
  };
  await withEchoServer(twoCopies, async (get) => {
    for (const id of ['first', 'second', 'third']) {
      const result = await get(id);
      test.equal(result.kind === 'whole' && result.body.toString(), id);
    }
  });
});

// Guards against reporting "not run" for a request that the upstream is running: a faulty upstream writes an earlier
// refusal once more on the connection that carries the request.
void t.test(
  'a repeated refusal of an earlier request is no answer to the next one',
  async (test) => {
    const refuseOnce = (socket: Socket, id: string): void => {
      socket.write(answerOf('refused', 503));
      if (id !== 'refused') setTimeout(() => socket.write(answerOf(id)), 20);
    };
    await withEchoServer(refuseOnce, async (get) => {
      const refused = await get('refused');
      test.equal(refused.kind === 'whole' && refused.response.statusCode, 503);
      test.match(await get('running'), { kind: 'failed', failure: 'foreign', sent: true });
    });
  },
);

// Guards against the same fault when a request is sent to the same upstream once more: its id doesn't tell a repeated refusal
// from the answer.
void t.test('a refused request is sent again on another connection', async (test) => {
  const repeatRefusal = (socket: Socket, id: string, requests: number): void => {
    if (requests === 1) socket.write(answerOf(id, 503));
    else setTimeout(() => socket.write(answerOf(id)), 20);
    // The copy arrives once the connection carries the next request, if it is used again.
    if (requests === 1) socket.once('data', () => socket.write(answerOf(id, 503)));
  };
  await withEchoServer(repeatRefusal, async (get) => {
    const refused = await get('first');
    test.equal(refused.kind === 'whole' && refused.response.statusCode, 503);
    const answered = await get('first');
    test.equal(answered.kind === 'whole' && answered.response.statusCode, 200);
  });
});

const ENDLESS_PARTS: Readonly<Record<string, { readonly start: string; readonly part: string }>> = {
  'bytes that are no head': { start: '', part: 'x'.repeat(1_024) },
  'empty lines without end': { start: '', part: '\r\n'.repeat(512) },
  'a status line without end': { start: 'HTTP/1.1 200 ', part: 'x'.repeat(1_024) },
  'header lines without end': { start: 'HTTP/1.1 200 OK\r\n', part: `X: ${'x'.repeat(1_000)}\r\n` },
  'interim answers without end': { start: '', part: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  'a chunk extension without end': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;',
    part: 'x'.repeat(1_024),
  },
  'trailers without end': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
    part: `X: ${'x'.repeat(1_000)}\r\n`,
  },
};

/** Parts that are written in one turn of the event loop, so that the exchange in the same process can read them. */
const PARTS_PER_TURN = 200;

/** Writes parts until the other side closes the connection. */
function writeEndlessly(socket: Socket, start: string, part: string): void {
  const writeMore = (): void => {
    for (let parts = 0; parts < PARTS_PER_TURN; parts += 1) {
      if (socket.destroyed || !socket.write(part)) return;
    }
    setImmediate(writeMore);
  };
  socket.write(start);
  socket.on('drain', writeMore);
  writeMore();
}

// Guards against an upstream that sends bytes without end: the request must end in time, and the connection must be
// closed.
for (const [name, { part, start }] of Object.entries(ENDLESS_PARTS)) {
  void t.test(`an upstream that sends ${name} costs one failed exchange`, async (test) => {
    let closed: Promise<unknown> | undefined;
    const answer = (socket: Socket): void => {
      closed = new Promise((resolve) => {
        socket.once('close', resolve);
      });
      writeEndlessly(socket, start, part);
    };
    await withServer(answer, async (get) => {
      const startedMilliseconds = clock.monotonicMilliseconds();
      test.match(await get(), { kind: 'failed', sent: true });
      test.ok(clock.monotonicMilliseconds() - startedMilliseconds < 1_500, 'ends by its deadline');
      await closed;
    });
  });
}

// Guards against interim answers without end that keep the process busy until the deadline of their request.
void t.test('interim answers without end do not last until the deadline', async (test) => {
  const endless = (socket: Socket): void =>
    writeEndlessly(socket, '', 'HTTP/1.1 103 Early Hints\r\n\r\n');
  await withServer(endless, async (get) => {
    test.match(await get(), { kind: 'failed', failure: 'truncated', sent: true });
  });
});

// Guards against a long response that never ends and is received beyond the deadline of its request.
void t.test('a response without end is cut off at the deadline', async (test) => {
  let closed: Promise<unknown> | undefined;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.once('data', () => writeEndlessly(socket, UNFRAMED, 'x'.repeat(65_536)));
  });
  const pool = await listenWithPool(server, 1);
  const scope = createCallScope(clock, 500);
  const result = await exchange({ ...ANY_RESPONSE, pool, scope });
  test.equal(result.kind, 'stream');
  if (result.kind !== 'stream') return;
  let bytes = 0;
  result.rest.on('error', () => undefined);
  result.rest.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  result.rest.resume();
  await new Promise((resolve) => {
    result.rest.once('close', resolve);
  });
  test.ok(bytes > 0);
  test.equal(result.rest.readableEnded, false, 'the response does not appear complete');
  await closed;
  scope.end();
  server.close();
});

// Guards against an upload that holds its connection until the deadline because its body had failed before it was sent.
void t.test('an upload whose body has already failed ends at once', async (test) => {
  const stream = new Readable({ read: () => undefined });
  stream.on('error', () => undefined);
  stream.destroy(new Error('connection to the caller was lost'));
  await clock.sleep(10);
  await withServer(
    () => undefined,
    async (_get, pool) => {
      const scope = createCallScope(clock, 1_000);
      const body = { kind: 'stream', stream, length: 10, head: Buffer.from('head') } as const;
      const startedMilliseconds = clock.monotonicMilliseconds();
      const result = await exchange({ ...ANY_RESPONSE, method: 'POST', body, pool, scope });
      test.match(result, { kind: 'failed' });
      test.ok(clock.monotonicMilliseconds() - startedMilliseconds < 500);
      scope.end();
    },
  );
});

// Guards against a request that has waited for a connection and is sent although its node may not send any more.
void t.test('a request that may no longer be sent is withheld', async (test) => {
  let received = 0;
  const answer = (socket: Socket): void => {
    received += 1;
    socket.write(FRAMED);
  };
  await withServer(answer, async (get, pool) => {
    await get();
    const scope = createCallScope(clock, 1_000);
    const maySend = (): boolean => false;
    const result = await exchange({ ...ANY_RESPONSE, pool, scope, maySend });
    test.same(result, { kind: 'failed', failure: 'withheld', sent: false });
    test.equal((await get()).kind, 'whole');
    test.equal(received, 2);
  });
});

// Guards against a request that is sent when its connection opens, although its node was told meanwhile not to send any more.
void t.test('a request is withheld if that changes while its connection opens', async (test) => {
  let received = 0;
  const answer = (socket: Socket): void => {
    received += 1;
    socket.write(FRAMED);
  };
  await withServer(answer, async (get, pool) => {
    const scope = createCallScope(clock, 1_000);
    let isAllowed = true;
    const exchanged = exchange({ ...ANY_RESPONSE, pool, scope, maySend: () => isAllowed });
    // The request has its connection by then, but the connection opens later.
    process.nextTick(() => {
      isAllowed = false;
    });
    const result = await exchanged;
    scope.end();
    test.same(result, { kind: 'failed', failure: 'withheld', sent: false });
    test.equal((await get()).kind, 'whole');
    test.equal(received, 1);
  });
});
