import { channelMessages } from '@buckthornslip/wire';

/** Size of the length prefix of a frame, an unsigned 32-bit integer. */
const LENGTH_BYTES = 4;

/** Largest accepted frame, in bytes. Longer bodies are sent in parts. */
const MAXIMUM_FRAME_BYTES = 4_194_304;

/** One message between two nodes. */
export type Frame = NonNullable<channelMessages.Frame['kind']>;

/**
 * @param frame - The message.
 * @returns The length prefix and the encoded message.
 * @internal
 */
export function encodeFrame(frame: Frame): Buffer {
  const writer = channelMessages.Frame.encode({ kind: frame });
  const bytes = writer.finish();
  const framed = Buffer.allocUnsafe(LENGTH_BYTES + bytes.length);
  framed.writeUInt32BE(bytes.length, 0);
  framed.set(bytes, LENGTH_BYTES);
  return framed;
}

/**
 * Splits a byte stream into frames.
 *
 * @internal
 */
export interface FrameReader {
  /**
   * @returns The frames that are now complete, or undefined if the bytes can't be decoded.
   */
  readonly push: (chunk: Buffer) => readonly Frame[] | undefined;
}

/**
 * @returns A reader at the start of a frame.
 * @internal
 */
export function createFrameReader(): FrameReader {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push: (chunk) => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const frames: Frame[] = [];
      while (pending.length >= LENGTH_BYTES) {
        const length = pending.readUInt32BE(0);
        if (length > MAXIMUM_FRAME_BYTES) return undefined;
        const end = LENGTH_BYTES + length;
        if (pending.length < end) break;
        try {
          const { kind } = channelMessages.Frame.decode(pending.subarray(LENGTH_BYTES, end));
          // Message kinds of later releases are ignored.
          if (kind) frames.push(kind);
        } catch {
          return undefined;
        }
        pending = pending.subarray(end);
      }
      return frames;
    },
  };
}
