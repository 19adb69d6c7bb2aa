import type { AddressInfo } from 'node:net';
import { createServer, request as httpRequest } from 'node:http';
import { Readable } from 'node:stream';

import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import { writeResponse } from './writeResponse';

const clock = createSystemClock();
const HEAD = Buffer.from('head');

/**
 * Gets a response whose rest comes from a stream.
 *
 * @param rest - The stream.
 * @returns Whether the response is complete, cut off, or not ended in time, and whether it was written to its end.
 */
async function getResponse(rest: Readable): Promise<{ end: string; isWritten: boolean }> {
  let isWritten = false;
  const server = createServer((_request, response) => {
    const answer = { kind: 'answer', status: 200, headers: [], body: HEAD, rest } as const;
    void writeResponse(response, answer, []).then(() => {
      isWritten = true;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const ended = new Promise<string>((resolve) => {
    const request = httpRequest({ host: '127.0.0.1', port, agent: false }, (response) => {
      response.on('error', () => undefined);
      response.once('close', () => resolve(response.complete ? 'complete' : 'cut off'));
      response.resume();
    });
    request.on('error', () => resolve('cut off'));
    request.end();
  });
  const end = await Promise.race([ended, clock.sleep(500).then(() => 'not ended')]);
  server.close();
  server.closeAllConnections();
  return { end, isWritten };
}

function createFailedStream(): Promise<Readable> {
  const stream = new Readable({ read: () => undefined });
  stream.on('error', () => undefined);
  stream.destroy(new Error('body was truncated by its sender'));
  return new Promise((resolve) => {
    stream.once('close', () => resolve(stream));
  });
}

// Guards against a response that hangs beyond the timeout of its route because the stream of its rest had failed before it was
// written.
void t.test('a response whose rest has already failed is cut off', async (test) => {
  test.same(await getResponse(await createFailedStream()), { end: 'cut off', isWritten: true });
});

// Guards against a truncated response that appears complete or hangs.
void t.test('a response whose rest fails is cut off', async (test) => {
  const rest = new Readable({ read: () => undefined });
  rest.push('part');
  setTimeout(() => rest.destroy(new Error('connection was lost')), 50);
  test.same(await getResponse(rest), { end: 'cut off', isWritten: true });
});

// Guards against cutting off complete responses.
void t.test('a response whose rest ends is complete', async (test) => {
  const rest = Readable.from([Buffer.from('rest')], { objectMode: false });
  test.same(await getResponse(rest), { end: 'complete', isWritten: true });
});
