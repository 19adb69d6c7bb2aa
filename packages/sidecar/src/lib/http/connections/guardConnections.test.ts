import { createHash } from 'node:crypto';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { createSeededRandom, createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import type { Test } from 'tap';
import t from 'tap';

import type { ConnectionLimits } from './ConnectionLimits';
import { defaultConnectionLimits } from './defaultConnectionLimits';
import type { ConnectionLimitReason } from './guardConnections';
import { guardConnections } from './guardConnections';

const SEED = 20_261_206;

const WAIT_MILLISECONDS = 20_000;

async function until(condition: () => boolean): Promise<boolean> {
  const end = performance.now() + WAIT_MILLISECONDS;
  while (!condition() && performance.now() < end) await sleep(10);
  return condition();
}

async function start(test: Test, handle: RequestListener, changed: Partial<ConnectionLimits> = {}) {
  const reasons: ConnectionLimitReason[] = [];
  const server = createServer({ keepAliveTimeout: 0 }, handle);
  guardConnections(server, {
    clock: createSystemClock(),
    logger: createSilentLogger(),
    limits: { ...defaultConnectionLimits, ...changed },
    listener: 'test',
    count: (reason) => reasons.push(reason),
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
  const open = async () => {
    const { port } = server.address() as AddressInfo;
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    sockets.push(socket);
    const chunks: Buffer[] = [];
    let isClosed = false;
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      isClosed = true;
    });
    socket.on('end', () => {
      isClosed = true;
    });
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    return {
      socket,
      text: () => Buffer.concat(chunks).toString('latin1'),
      isClosed: () => isClosed,
    };
  };
  return { open, reasons, server };
}

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

function readBody(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
  });
}

const digest = (bytes: Buffer): string => createHash('sha1').update(bytes).digest('hex');

// Guards against a parser that turns a whole read of minimal requests into objects, and against requests that are lost or
// reordered when the rest of a read waits.
void t.test('requests ahead wait, and each is answered once, in its order', async (test) => {
  const waiting: { request: IncomingMessage; response: ServerResponse }[] = [];
  let begun = 0;
  const { open, reasons } = await start(test, (request, response) => {
    begun += 1;
    waiting.push({ request, response });
  });
  const { socket, text } = await open();
  const paths = Array.from({ length: 2_000 }, (_, index) => `/${index}`);
  socket.write(paths.map(get).join(''));
  await sleep(600);
  test.ok(begun >= defaultConnectionLimits.requestsAhead, `${begun} begun`);
  test.ok(begun < defaultConnectionLimits.requestsAhead + 28, `${begun} begun`);
  test.same(reasons, ['requests-ahead']);
  const served: string[] = [];
  const isDone = await until(() => {
    waiting.splice(0).forEach(({ request, response }) => {
      served.push(request.url ?? '');
      response.end(`<${request.url}>`);
    });
    return text().includes('</1999>');
  });
  test.ok(isDone);
  test.same(served, paths);
  const answered = [...text().matchAll(/<(\/\d+)>/g)].map(([, path]) => path);
  test.same(answered, paths);
});

// Guards against requests that are not limited because each read ends the body of one and begins the next, for example with trailers.
void t.test('requests ahead with bodies wait, however they are cut', async (test) => {
  for (const trailerBytes of [1, 900, 1_500, 6_000]) {
    const waiting: ServerResponse[] = [];
    let begun = 0;
    const { open } = await start(test, (request, response) => {
      begun += 1;
      request.resume();
      waiting.push(response);
    });
    const { socket, text } = await open();
    const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
    const trailer = `T: ${'t'.repeat(trailerBytes)}\r\n`;
    socket.write(`${head}1\r\nx\r\n0\r\n${trailer}\r\n`.repeat(200));
    await sleep(300);
    test.ok(begun <= defaultConnectionLimits.requestsAhead + 10, `${begun} begun`);
    const isDone = await until(() => {
      waiting.splice(0).forEach((response) => response.end('<done>'));
      return text().split('<done>').length === 201;
    });
    test.ok(isDone, 'all are answered');
  }
});

// Guards against bodies that are cut, mixed up or stuck when they are passed to the parser in slices.
void t.test('bodies arrive whole, however they are cut', async (test) => {
  const random = createSeededRandom(SEED);
  const { open, reasons } = await start(test, (request, response) => {
    void readBody(request).then((body) => response.end(`<${digest(body)}>`));
  });
  const { socket, text } = await open();
  for (let round = 0; round < 40; round += 1) {
    const body = Buffer.alloc(random.nextInteger(150_000), `${round}`);
    const isChunked = random.nextInteger(2) === 1;
    const pieces: Buffer[] = [];
    if (isChunked) {
      pieces.push(Buffer.from('POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'));
      const largest = random.nextInteger(2) === 1 ? 3 : 40_000;
      for (let from = 0; from < body.length;) {
        const part = body.subarray(from, from + 1 + random.nextInteger(largest));
        pieces.push(Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n'));
        from += part.length;
      }
      pieces.push(Buffer.from('0\r\n\r\n'));
    } else {
      pieces.push(
        Buffer.from(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n`),
      );
      pieces.push(body);
    }
    const all = Buffer.concat(pieces);
    const cut = random.nextInteger(all.length);
    socket.write(all.subarray(0, cut));
    await sleep(random.nextInteger(3));
    socket.write(all.subarray(cut));
    const isAnswered = await until(() => text().includes(`<${digest(body)}>`));
    if (!isAnswered) test.fail(`round ${round}, seed ${SEED}, ${body.length} bytes`);
  }
  test.same(reasons, []);
});

// Guards against a response that is cut off because its reader is slow.
void t.test('a slow reader gets a long response', async (test) => {
  const { open, reasons } = await start(
    test,
    (_request, response) => {
      response.end(Buffer.alloc(4_000_000, 'x'));
    },
    { stallMilliseconds: 10_000, keptBytes: 3_000_000 },
  );
  const { socket, text } = await open();
  socket.write(get('/'));
  const end = performance.now() + 3_000;
  while (performance.now() < end) {
    socket.pause();
    await sleep(100);
    socket.resume();
    await new Promise((resolve) => {
      socket.once('data', resolve);
    });
  }
  socket.resume();
  test.ok(await until(() => text().length > 4_000_000));
  test.same(reasons, []);
});

// Guards against connections that hold memory for ever, and against closing one that only waits for its response.
void t.test('a connection without progress is closed, a waiting one is not', async (test) => {
  const { open, reasons } = await start(
    test,
    (request, response) => {
      request.resume();
      if (request.url === '/late') setTimeout(() => response.end('late'), 1_500);
      else if (request.url === '/long') response.end(Buffer.alloc(20_000_000));
    },
    { stallMilliseconds: 500 },
  );
  const unfinished = await open();
  unfinished.socket.write('POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{}');
  const unread = await open();
  unread.socket.pause();
  unread.socket.write(get('/long'));
  const late = await open();
  late.socket.write(get('/late'));
  const idle = await open();
  test.ok(await until(() => late.text().includes('late')));
  test.ok(unfinished.isClosed());
  test.same(reasons, ['stalled', 'stalled']);
  test.notOk(idle.isClosed());
});

// Guards against an unbounded sum of what many connections leave unread.
void t.test('the connections that leave most time unread are closed first', async (test) => {
  const { open, reasons } = await start(
    test,
    (_request, response) => {
      response.end(Buffer.alloc(8_000_000));
    },
    { keptBytes: 20_000_000 },
  );
  for (let count = 0; count < 5; count += 1) {
    const { socket } = await open();
    socket.pause();
    socket.write(get('/'));
  }
  test.ok(await until(() => reasons.length > 0));
  await sleep(1_000);
  test.ok(reasons.length >= 2 && reasons.length <= 4, `${reasons.length} closed`);
  test.same(new Set(reasons), new Set(['kept-bytes']));
});

// Guards against a process that runs out of descriptors, and against idle connections that keep others out.
void t.test('a new connection takes the place of the one idle for longest', async (test) => {
  const { open, reasons } = await start(
    test,
    (request, response) => {
      if (request.url === '/done') response.end('done');
    },
    { connections: 3 },
  );
  const idle = await open();
  await sleep(50);
  const busy = [await open(), await open()];
  busy.forEach(({ socket }) => socket.write(get('/wait')));
  await sleep(50);
  const next = await open();
  next.socket.write(get('/done'));
  test.ok(await until(() => next.text().includes('done')));
  test.ok(await until(idle.isClosed));
  next.socket.write(get('/wait'));
  await sleep(50);
  const refused = await open();
  test.ok(await until(refused.isClosed));
  test.ok(busy.every(({ isClosed }) => !isClosed()));
  test.same(reasons, ['too-many-connections', 'too-many-connections']);
});

// Guards against calls that are never cancelled and never counted as ended: Node.js reports the end of a connection only to the
// response that is being written.
void t.test('the responses behind the first one learn that the connection closed', async (test) => {
  let begun = 0;
  let closed = 0;
  const { open } = await start(test, (_request, response) => {
    begun += 1;
    response.once('close', () => {
      closed += 1;
    });
  });
  const { socket } = await open();
  socket.write([1, 2, 3].map((count) => get(`/${count}`)).join(''));
  await until(() => begun === 3);
  socket.destroy();
  test.ok(await until(() => closed === 3), `${closed} of ${begun}`);
});

// Guards against calls that run on for a caller that has gone, because the end of its connection waits behind held requests.
void t.test('a caller that has gone is noticed while its requests are held', async (test) => {
  let begun = 0;
  let closed = 0;
  const { open, reasons } = await start(test, (_request, response) => {
    begun += 1;
    response.once('close', () => {
      closed += 1;
    });
  });
  const { socket } = await open();
  socket.write(get('/').repeat(100));
  test.ok(await until(() => reasons.includes('requests-ahead')));
  const gone = performance.now();
  socket.end();
  test.ok(await until(() => closed === begun), `${closed} of ${begun}`);
  test.ok(performance.now() - gone < 5_000);
  test.ok(begun < 100, `${begun} begun`);
});

// Guards against the same for a caller whose body is not being read.
void t.test('a caller that has gone is noticed while its body is held', async (test) => {
  let begun = 0;
  let closed = 0;
  const { open } = await start(test, (request, response) => {
    begun += 1;
    request.on('error', () => undefined).pause();
    response.once('close', () => {
      closed += 1;
    });
  });
  const { socket, text } = await open();
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n';
  socket.write(head + 'x'.repeat(40_000));
  test.ok(await until(() => begun === 1));
  const gone = performance.now();
  socket.end();
  test.ok(await until(() => closed === 1));
  test.ok(performance.now() - gone < 5_000);
  test.equal(text(), '');
});

// Guards against defaults that callers within their limits meet.
void t.test('many callers with one request each meet no limit', async (test) => {
  const { open, reasons } = await start(test, (request, response) => {
    void readBody(request).then((body) => response.end(`<${body.length}>`));
  });
  const callers = await Promise.all(Array.from({ length: 400 }, open));
  const body = 'x'.repeat(50_000);
  const post = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
  for (let round = 1; round <= 2; round += 1) {
    callers.forEach(({ socket }) => socket.write(post));
    const isAnswered = await until(() =>
      callers.every(({ text }) => text().split(`<${body.length}>`).length === round + 1),
    );
    test.ok(isAnswered, `round ${round}`);
    // The connections are idle for a while and used again.
    await sleep(1_000);
  }
  test.same(reasons, []);
});

// Guards against a gate that goes on after the parser has failed or has been detached from the connection.
void t.test('malformed requests end their connection only', async (test) => {
  const { open } = await start(test, (_request, response) => response.end('served'));
  const starts = [
    'garbage\r\n\r\n',
    'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n',
    'GET / HTTP/9\r\n\r\n',
  ];
  for (const begin of starts) {
    const { isClosed, socket, text } = await open();
    socket.write(begin + get('/').repeat(2_000));
    test.ok(await until(isClosed), begin);
    test.ok(text().split('HTTP/1.1 400').length <= 2, text().slice(0, 200));
    test.notMatch(text(), 'served');
  }
  const { socket, text } = await open();
  socket.write(get('/'));
  test.ok(await until(() => text().includes('served')));
});
