import type { Readable } from 'node:stream';

/** One part of a body that is sent in parts. */
export interface BodyPartFields {
  readonly bytes: Buffer;
  readonly last: boolean;
  readonly broken: boolean;
}

/**
 * Receives the rest of a body that is sent in parts.
 *
 * @internal
 */
export interface BodyReceiver {
  readonly stream: Readable;
  readonly push: (part: BodyPartFields) => void;
  /** Fails the stream because the connection was lost. */
  readonly fail: () => void;
  /** Ends the stream and frees what was received, because nobody will read it. */
  readonly drop: () => void;
}

/** What the connection of a body takes. */
export interface BodyOutlet {
  readonly send: (part: BodyPartFields) => void;
  /** @returns Whether the connection takes more now. */
  readonly hasRoom: () => boolean;
  /** @returns A promise that resolves when it may take more. */
  readonly whenDrained: () => Promise<void>;
}

/**
 * Sends the rest of a body in parts, within the credit that the receiver grants.
 *
 * @internal
 */
export interface BodySender {
  readonly addCredit: (bytes: number) => void;
  /** Sends nothing more and destroys the source. */
  readonly stop: () => void;
  /** Sends nothing more. The source remains open, so that its sender can still be answered. */
  readonly release: () => void;
}
