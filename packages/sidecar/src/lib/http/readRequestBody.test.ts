import type { IncomingMessage } from 'node:http';
import { createServer, request as httpRequest } from 'node:http';
import type { AddressInfo } from 'node:net';
import { buffer } from 'node:stream/consumers';

import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import { createPiecePacer } from './createPiecePacer';
import { readRequestBody } from './readRequestBody';

const LIMIT_BYTES = 200_000;

const BUFFERED_BYTES = 65_536;

const pacer = createPiecePacer(createSystemClock());

/** Result of reading a body: its length if it was read to its end, otherwise the reason. */
async function outcomeOf(request: IncomingMessage): Promise<string> {
  let broken = 'broken off';
  const read = await readRequestBody(request, {
    acceptedBytes: LIMIT_BYTES,
    bufferedBytes: BUFFERED_BYTES,
    pacer,
    onExceeded: () => {
      broken = 'broken off as too long';
    },
  });
  if (!read.ok) return read.error;
  const body = read.value;
  if (body.kind === 'whole') return `whole ${body.bytes.length}`;
  try {
    const rest = await buffer(body.stream);
    return `stream ${body.head.length + rest.length}`;
  } catch {
    return broken;
  }
}

async function startServer() {
  const outcomes: Promise<string>[] = [];
  const server = createServer((request, response) => {
    const outcome = outcomeOf(request);
    outcomes.push(outcome);
    void outcome.then(() => {
      response.setHeader('Connection', 'close');
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  /** Sends a body in parts, chunked unless its length is declared. */
  const send = (parts: readonly number[], headers: Record<string, string> = {}): Promise<void> =>
    new Promise((resolve) => {
      const request = httpRequest({ host: '127.0.0.1', port, method: 'POST', headers });
      // A server may respond or close the connection before it has read the whole body.
      request.on('error', () => resolve());
      request.on('response', (response) => {
        response.resume();
        resolve();
      });
      parts.forEach((bytes) => request.write(Buffer.alloc(bytes)));
      request.end();
    });
  return { server, outcomes, send };
}

// Guards against callers that exhaust the memory of nodes and upstreams with bodies above the configured limit.
void t.test('bodies up to the limit are read, longer ones are not', async (test) => {
  const { outcomes, send, server } = await startServer();
  await send([1_000]);
  await send([70_000, 70_000]);
  await send([70_000], { 'Content-Length': '70000' });
  await send([], { 'Content-Length': String(LIMIT_BYTES + 1) });
  await send([70_000, 70_000, 70_000]);
  test.same(await Promise.all(outcomes), [
    'whole 1000',
    'stream 140000',
    'stream 70000',
    'body-too-large',
    'broken off as too long',
  ]);
  server.close();
  server.closeAllConnections();
});

// Guards against streamed bodies of equal length that can't be told apart when one of them crashes upstreams.
void t.test('a streamed body begins with a part that has been read', async (test) => {
  const heads: number[] = [];
  const server = createServer((request, response) => {
    void readRequestBody(request, {
      acceptedBytes: LIMIT_BYTES,
      bufferedBytes: BUFFERED_BYTES,
      pacer,
      onExceeded: () => undefined,
    }).then((read) => {
      if (read.ok && read.value.kind === 'stream') heads.push(read.value.head.length);
      request.resume();
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    const headers = { 'Content-Length': '70000' };
    httpRequest({ host: '127.0.0.1', port, method: 'POST', headers })
      .once('response', resolve)
      .end(Buffer.alloc(70_000));
  });
  test.equal(heads.length, 1);
  test.ok((heads[0] as number) >= 16_384);
  server.close();
  server.closeAllConnections();
});
