import type { Frame } from './frameCodec';

/**
 * A connection that carries frames.
 *
 * @internal
 */
export interface FrameConnection {
  /** Frames sent while one event is handled leave together. */
  readonly send: (frame: Frame) => void;
  /** @returns Monotonic time at which bytes last arrived, in milliseconds. */
  readonly lastReceivedMilliseconds: () => number;
  /** @returns Bytes that the network has not taken yet. */
  readonly pendingBytes: () => number;
  readonly destroy: () => void;
}
