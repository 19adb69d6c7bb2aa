import { Readable } from 'node:stream';

import type { BodyReceiver } from './BodyChannel';

/**
 * Creates a receiver. Credit is given as the stream is read, so that a slow reader holds back the sender and not the
 * other calls of the connection.
 *
 * @param giveCredit - Tells the sender how many more bytes are taken.
 * @returns The receiver.
 * @internal
 */
export function createBodyReceiver(grantCredit: (bytes: number) => void): BodyReceiver {
  let ungrantedBytes = 0;
  const stream = new Readable({
    read: () => {
      if (ungrantedBytes === 0) return;
      grantCredit(ungrantedBytes);
      ungrantedBytes = 0;
    },
  });
  // A reader that has gone away does not hear of a failure.
  stream.on('error', () => undefined);
  return {
    stream,
    push: ({ broken, bytes, last }) => {
      if (stream.destroyed) return;
      if (broken) {
        stream.destroy(new Error('body was cut short'));
        return;
      }
      if (bytes.length > 0) {
        ungrantedBytes += bytes.length;
        stream.push(bytes);
      }
      if (last) stream.push(null);
    },
    fail: () => {
      if (!stream.readableEnded) stream.destroy(new Error('connection between nodes was lost'));
    },
  };
}
