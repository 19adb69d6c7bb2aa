import type { Readable } from 'node:stream';

/** One part of a body. */
export interface BodyPartFields {
  readonly bytes: Buffer;
  readonly last: boolean;
  readonly broken: boolean;
}

/**
 * Receives the rest of a body that travels in parts.
 *
 * @internal
 */
export interface BodyReceiver {
  readonly stream: Readable;
  readonly push: (part: BodyPartFields) => void;
  /** The connection was lost. */
  readonly fail: () => void;
}

/**
 * Sends the rest of a body in parts, as far as the receiver takes them.
 *
 * @internal
 */
export interface BodySender {
  readonly addCredit: (bytes: number) => void;
  readonly stop: () => void;
}
