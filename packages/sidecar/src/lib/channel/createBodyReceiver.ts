import { Readable } from 'node:stream';

import type { BodyReceiver } from './BodyChannel';

/**
 * Creates a body receiver. Credit is granted as the stream is read, so that a slow reader throttles this sender only
 * and not the other calls on the connection.
 *
 * @param grantCredit - Grants the sender further bytes.
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
  // A failure may come after the reader has ended; without a listener the error would end the process.
  stream.on('error', () => undefined);
  return {
    stream,
    push: ({ broken, bytes, last }) => {
      if (stream.destroyed) return;
      if (broken) {
        stream.destroy(new Error('body was truncated by its sender'));
        return;
      }
      if (bytes.length > 0) {
        ungrantedBytes += bytes.length;
        stream.push(bytes);
      }
      if (last) stream.push(null);
    },
    fail: () => {
      if (!stream.readableEnded) stream.destroy(new Error('connection to the other node was lost'));
    },
  };
}
