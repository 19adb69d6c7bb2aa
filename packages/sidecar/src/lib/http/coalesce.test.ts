import type { IncomingMessage } from 'node:http';
import { createServer, request as httpRequest } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { createSystemClock } from '@buckthornslip/common';
import t from 'tap';

import { coalesce } from './coalesce';
import { createPiecePacer } from './createPiecePacer';

const clock = createSystemClock();
const PIECES = 30_000;

/** Requests a response in chunks of one byte, whose end is written by a function. */
async function withResponse(
  end: (socket: Socket) => void,
  use: (response: IncomingMessage) => Promise<void>,
): Promise<void> {
  const server = createServer((_request, response) => {
    const { socket } = response;
    if (!socket) return;
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
    socket.write('1\r\nx\r\n'.repeat(PIECES));
    end(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const response = await new Promise<IncomingMessage>((resolve) => {
    const request = httpRequest({ host: '127.0.0.1', port });
    // The response fails as well.
    request.on('error', () => undefined);
    request.once('response', resolve).end();
  });
  await use(response);
  server.closeAllConnections();
  server.close();
}

const endRegularly = (socket: Socket): void => {
  socket.write('0\r\n\r\n');
};

async function readAll(stream: AsyncIterable<Buffer>): Promise<{ bytes: number; pieces: number }> {
  let bytes = 0;
  let pieces = 0;
  for await (const piece of stream) {
    bytes += piece.length;
    pieces += 1;
  }
  return { bytes, pieces };
}

// Guards against an object, and a frame to another node, for each of the tiny chunks of a body.
void t.test('chunks that arrive together are joined', async (test) => {
  await withResponse(endRegularly, async (response) => {
    const pacer = createPiecePacer(clock);
    const { bytes, pieces } = await readAll(coalesce(response, { pacer }));
    test.equal(bytes, PIECES);
    test.ok(pieces < 100, `${pieces} pieces`);
  });
});

// Guards against objects that pile up in a paused stream, whose buffer is limited by bytes only, and against losing them.
void t.test(
  'a body that is not read keeps few bytes, and all of it is read later',
  async (test) => {
    await withResponse(endRegularly, async (response) => {
      const joined = coalesce(response, { pacer: createPiecePacer(clock) });
      await clock.sleep(400);
      test.equal(response.readableLength, 0);
      test.ok(joined.readableLength < PIECES);
      const { bytes } = await readAll(joined);
      test.equal(bytes, PIECES);
    });
  },
);

// Guards against a truncated body that appears complete.
void t.test('a body that is cut off fails', async (test) => {
  await withResponse(
    (socket) => setTimeout(() => socket.resetAndDestroy(), 50),
    async (response) => {
      const joined = coalesce(response, { pacer: createPiecePacer(clock) });
      await test.rejects(readAll(joined));
    },
  );
});
