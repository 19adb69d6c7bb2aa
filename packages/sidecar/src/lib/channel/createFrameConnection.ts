import type { Socket } from 'node:net';

import type { Clock } from '@buckthornslip/common';

import type { FrameConnection } from './FrameConnection';
import type { Frame } from './frameCodec';
import { createFrameReader, encodeFrame } from './frameCodec';

/** Callbacks of a connection. */
interface FrameListener {
  /** If it throws, the connection is closed. */
  readonly onFrame: (frame: Frame, connection: FrameConnection) => void;
  /** Called with an error thrown by `onFrame`. */
  readonly onError: (kind: Frame['$case'], error: unknown) => void;
  /** Called once when the connection has ended. */
  readonly onClose: (connection: FrameConnection) => void;
}

/**
 * Creates a frame connection on a socket. Bytes that can't be decoded as frames close it.
 *
 * @param clock - Source of time.
 * @param socket - The socket, which may still be connecting.
 * @param listener - Called for each frame and when the connection ends.
 * @returns The connection.
 * @internal
 */
export function createFrameConnection(
  clock: Clock,
  socket: Socket,
  listener: FrameListener,
): FrameConnection {
  const reader = createFrameReader();
  let pending: Buffer[] = [];
  let isOpen = true;
  let lastReceivedMilliseconds = clock.monotonicMilliseconds();
  let drained = Promise.resolve();
  let resolveDrained = (): void => undefined;
  socket.setNoDelay(true);

  const waitForDrain = (): void => {
    drained = new Promise((resolve) => {
      resolveDrained = resolve;
    });
    socket.once('drain', resolveDrained);
  };

  const flush = (): void => {
    const frames = pending;
    pending = [];
    if (!isOpen) return;
    const wasDrained = !socket.writableNeedDrain;
    const isDrained = socket.write(
      frames.length === 1 ? (frames[0] as Buffer) : Buffer.concat(frames),
    );
    if (wasDrained && !isDrained) waitForDrain();
  };
  const connection: FrameConnection = {
    send: (frame) => {
      if (!isOpen) return;
      if (pending.length === 0) process.nextTick(flush);
      pending.push(encodeFrame(frame));
    },
    lastReceivedMilliseconds: () => lastReceivedMilliseconds,
    pendingBytes: () => (isOpen ? socket.writableLength : 0),
    whenDrained: () => drained,
    destroy: () => {
      socket.destroy();
      end();
    },
  };

  function end(): void {
    if (!isOpen) return;
    isOpen = false;
    resolveDrained();
    listener.onClose(connection);
  }

  const handle = (frame: Frame): void => {
    try {
      listener.onFrame(frame, connection);
    } catch (error) {
      listener.onError(frame.$case, error);
      socket.destroy();
    }
  };

  socket.on('data', (chunk: Buffer) => {
    lastReceivedMilliseconds = clock.monotonicMilliseconds();
    const frames = reader.push(chunk);
    if (frames) frames.forEach(handle);
    else socket.destroy();
  });
  // The close event follows, and its listener handles the end of the connection.
  socket.on('error', () => socket.destroy());
  socket.on('end', () => socket.destroy());
  socket.on('close', end);
  return connection;
}
