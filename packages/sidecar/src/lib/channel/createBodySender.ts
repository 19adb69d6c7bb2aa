import type { Readable } from 'node:stream';

import { whenClosed } from '../http/whenClosed';
import type { BodyOutlet, BodySender } from './BodyChannel';

const NO_BYTES = Buffer.alloc(0);

/**
 * Starts sending the rest of a body.
 *
 * @param source - Stream of the rest of the body.
 * @param outlet - Where the parts go.
 * @param initialCreditBytes - Bytes that may be sent before the receiver grants credit.
 * @returns The sender.
 * @internal
 */
export function createBodySender(
  source: Readable,
  outlet: BodyOutlet,
  initialCreditBytes: number,
): BodySender {
  const { hasRoom, send, whenDrained } = outlet;
  let credit = initialCreditBytes;
  let isEnded = false;
  let isDraining = false;
  const end = (broken: boolean): void => {
    if (isEnded) return;
    isEnded = true;
    send({ bytes: NO_BYTES, last: !broken, broken });
  };
  const readOn = (): void => {
    if (credit > 0 && !isDraining && !isEnded) source.resume();
  };
  const waitForRoom = async (): Promise<void> => {
    isDraining = true;
    while (!isEnded && !hasRoom()) await whenDrained();
    isDraining = false;
    readOn();
  };
  source.on('data', (bytes: Buffer) => {
    if (isEnded) return;
    const part = bytes.subarray(0, credit);
    credit -= part.length;
    send({ bytes: part, last: false, broken: false });
    if (!isDraining && !hasRoom()) void waitForRoom();
    if (credit <= 0 || isDraining) source.pause();
    if (part.length < bytes.length) source.unshift(bytes.subarray(part.length));
  });
  source.once('end', () => end(false));
  source.once('error', () => end(true));
  whenClosed(source, () => end(!source.readableEnded));
  if (credit > 0) source.resume();
  else source.pause();
  return {
    addCredit: (bytes) => {
      credit += bytes;
      readOn();
    },
    stop: () => {
      isEnded = true;
      source.destroy();
    },
    release: () => {
      isEnded = true;
      source.pause();
    },
  };
}
