import { Readable } from 'node:stream';

import { createByteCollector } from '@buckthornslip/common';

import type { BodyReceiver } from './BodyChannel';

/**
 * Creates a body receiver. Credit is granted as the stream is read, so that a slow reader throttles this sender only
 * and not the other calls on the connection. Parts that are waiting for the reader are joined.
 *
 * @param grantCredit - Grants the sender further bytes.
 * @param headBytes - Bytes of the body that came before the parts. They are granted again when the stream is first read, because its
 *   reader has taken them by then.
 * @returns The receiver.
 * @internal
 */
export function createBodyReceiver(
  grantCredit: (bytes: number) => void,
  headBytes = 0,
): BodyReceiver {
  const waiting = createByteCollector();
  let ungrantedBytes = headBytes;
  let isWanted = false;
  const stream: Readable = new Readable({
    read: () => {
      if (ungrantedBytes > 0) grantCredit(ungrantedBytes);
      ungrantedBytes = 0;
      isWanted = true;
      deliver();
    },
  });

  function deliver(): void {
    if (waiting.size() === 0) return;
    isWanted = false;
    ungrantedBytes += waiting.size();
    stream.push(waiting.take());
  }

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
      waiting.add(bytes);
      if (isWanted || last) deliver();
      if (last) stream.push(null);
    },
    drop: () => {
      waiting.take();
      stream.destroy();
    },
    fail: () => {
      if (!stream.readableEnded) stream.destroy(new Error('connection to the other node was lost'));
    },
  };
}
