import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { Transform } from 'node:stream';

import { whenClosed } from './whenClosed';

/**
 * Limits the rest of a body without a declared length. If it is longer, the caller's connection is closed, and the
 * stream of the rest fails.
 *
 * @param request - The request, whose first part has already been read.
 * @param rest - The rest of its body.
 * @param limitBytes - Longest rest, in bytes.
 * @param onExceeded - Called when the rest is longer.
 * @returns A stream of the rest of the body.
 * @internal
 */
export function limitBody(
  request: IncomingMessage,
  rest: Readable,
  limitBytes: number,
  onExceeded: () => void,
): Readable {
  let remainingBytes = limitBytes;
  const limited = new Transform({
    transform: (chunk: Buffer, _encoding, done) => {
      remainingBytes -= chunk.length;
      if (remainingBytes >= 0) {
        done(null, chunk);
        return;
      }
      onExceeded();
      request.destroy();
      done(new Error(`rest of the body exceeds the limit of ${limitBytes} bytes`));
    },
  });
  // Readers handle the close event; an error without a listener would end the process.
  limited.on('error', () => undefined);
  whenClosed(request, () => {
    if (!request.readableEnded) limited.destroy();
  });
  rest.pipe(limited);
  return limited;
}
