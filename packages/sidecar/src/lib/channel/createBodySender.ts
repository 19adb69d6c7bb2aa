import type { Readable } from 'node:stream';

import { whenClosed } from '../http/whenClosed';
import type { BodyPartFields, BodySender } from './BodyChannel';

/** Bytes that may be sent before the receiver grants credit. */
const INITIAL_CREDIT_BYTES = 262_144;

const NO_BYTES = Buffer.alloc(0);

/**
 * Starts sending the rest of a body.
 *
 * @param source - Stream of the rest of the body.
 * @param send - Sends one part.
 * @returns The sender.
 * @internal
 */
export function createBodySender(
  source: Readable,
  send: (part: BodyPartFields) => void,
): BodySender {
  let credit = INITIAL_CREDIT_BYTES;
  let isEnded = false;
  const end = (broken: boolean): void => {
    if (isEnded) return;
    isEnded = true;
    send({ bytes: NO_BYTES, last: !broken, broken });
  };
  source.on('data', (bytes: Buffer) => {
    if (isEnded) return;
    credit -= bytes.length;
    send({ bytes, last: false, broken: false });
    if (credit <= 0) source.pause();
  });
  source.once('end', () => end(false));
  source.once('error', () => end(true));
  whenClosed(source, () => end(!source.readableEnded));
  source.resume();
  return {
    addCredit: (bytes) => {
      credit += bytes;
      if (credit > 0 && !isEnded) source.resume();
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
