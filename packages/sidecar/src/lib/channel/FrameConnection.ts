import type { Frame } from './frameCodec';

/**
 * A connection that transports frames.
 *
 * @internal
 */
export interface FrameConnection {
  /** Queues a frame; frames queued in the same turn of the event loop are written together. */
  readonly send: (frame: Frame) => void;
  /** @returns Monotonic time at which bytes were last received, in milliseconds. */
  readonly lastReceivedMilliseconds: () => number;
  /** @returns Bytes that are buffered in the process and not yet handed to the operating system. */
  readonly pendingBytes: () => number;
  /** @returns A promise that resolves when the operating system has taken all of these bytes, or the connection has ended. */
  readonly whenDrained: () => Promise<void>;
  readonly destroy: () => void;
}
