import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { Transform } from 'node:stream';

/**
 * Bounds the rest of a body without a declared length. Beyond the bound the caller's connection is closed, and the reader
 * of the rest sees a body that breaks off.
 *
 * @param request - The request, whose first part has been read.
 * @param limitBytes - Longest rest, in bytes.
 * @param onExceeded - Called when the rest is longer.
 * @returns The rest of the body.
 * @internal
 */
export function limitBody(
  request: IncomingMessage,
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
      done(new Error(`body is longer than ${limitBytes} further bytes`));
    },
  });
  // Readers act on the close event; an error without a listener would end the process.
  limited.on('error', () => undefined);
  request.once('close', () => {
    if (!request.readableEnded) limited.destroy();
  });
  request.pipe(limited);
  return limited;
}
