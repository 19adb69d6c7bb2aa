import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Passes what arrives on a connection to the HTTP parser in small slices, and stops between two of them.
 *
 * @internal
 */
export interface RequestGate {
  /** Takes note of a request that the parser has created. */
  readonly begin: (request: IncomingMessage) => void;
  /** Continues after a reason to hold the connection has ended. */
  readonly release: () => void;
  /** @returns Bytes that have been passed to the parser. */
  readonly passedBytes: () => number;
  /** @returns Bytes that have been passed of an unfinished body. */
  readonly bodyBytes: () => number;
  /** @returns Bytes that wait for the parser. */
  readonly waitingBytes: () => number;
  /** @returns Whether requests of this connection wait because of the limits. */
  readonly isHeld: () => boolean;
}

/** Slice between two messages, in bytes. It holds at most 28 of the shortest requests. */
const HEAD_SLICE_BYTES = 512;

/** Slice of a body in chunks, in bytes. It holds at most 170 chunks, each of which the parser delivers by itself. */
const CHUNKED_SLICE_BYTES = 1_024;

/** Slice of a body with a declared length, in bytes. */
const BODY_SLICE_BYTES = 16_384;

type Listener = (...values: unknown[]) => void;

/**
 * Copies a small part of a read, which would keep the whole read in memory. At most twice the bytes of the result are kept, so that
 * the limit for kept bytes holds.
 */
function withoutUnusedBytes(bytes: Buffer): Buffer {
  if (bytes.buffer.byteLength <= 2 * bytes.length) return bytes;
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
}

/** The HTTP server sets this property while its parser must not be called. */
interface ParsedSocket extends Socket {
  readonly _paused?: boolean;
}

/**
 * Creates the gate of a connection. Node.js passes each read of up to 64 KiB to its parser as a whole, which creates a request and
 * a response for each request in it (3,600 of the shortest) and a buffer for each chunk of a body, although the connection has
 * been paused meanwhile.
 *
 * @param socket - A connection that an HTTP server has accepted and not read yet.
 * @param mayPass - Whether another request of the connection may be parsed, or the given one, which has begun. A slice may end one
 *   request and begin the next.
 * @returns The gate.
 * @internal
 */
export function createRequestGate(
  socket: Socket,
  mayPass: (begun: IncomingMessage | undefined) => boolean,
): RequestGate {
  const parse = socket.listeners('data').at(-1) as Listener;
  const finish = socket.listeners('end').at(-1) as Listener;
  let waiting: Buffer | undefined;
  let current: IncomingMessage | undefined;
  let begun = 0;
  let passedBytes = 0;
  /** Bytes passed since the slice in which the current request began; all of them belong to its body until it is complete. */
  let bodyBytes = 0;
  let isScheduled = false;
  let hasEnded = false;

  const isParserPaused = (): boolean => (socket as ParsedSocket)._paused === true;

  const sliceBytes = (): number => {
    if (!current || current.complete) return HEAD_SLICE_BYTES;
    const length = current.headers['content-length'];
    if (length === undefined) return CHUNKED_SLICE_BYTES;
    // The slice that ends the body takes what belongs to the body by this count, which is at most a head slice too much.
    const missingBytes = Number(length) - bodyBytes;
    return Math.min(BODY_SLICE_BYTES, Math.max(HEAD_SLICE_BYTES, missingBytes));
  };

  const isBetweenMessages = (): boolean => !current || current.complete;

  /** Whether the reader of the current body has stopped reading. */
  const isBodyHeld = (): boolean =>
    current !== undefined &&
    !current.complete &&
    (current.isPaused() || current.readableLength >= current.readableHighWaterMark);

  const isOverLimit = (): boolean => !mayPass(isBetweenMessages() ? undefined : current);

  const isBlocked = (): boolean => isParserPaused() || isBodyHeld() || isOverLimit();

  const passSlice = (buffer: Buffer): void => {
    const slice = buffer.subarray(0, sliceBytes());
    waiting = slice.length === buffer.length ? undefined : buffer.subarray(slice.length);
    const before = begun;
    bodyBytes += slice.length;
    passedBytes += slice.length;
    parse.call(socket, slice);
    if (begun > before) bodyBytes = 0;
    const isChunked = !isBetweenMessages() && current?.headers['content-length'] === undefined;
    // Whoever handles the request may pause the connection in the ticks that follow.
    if (begun > before || isChunked) schedule();
  };

  /**
   * Ends a connection whose caller has closed it while the rest of what it sent is held. The HTTP server doesn't answer requests
   * of such a caller, so the rest is not needed, and waiting for it would let the calls run on.
   */
  const discardHeld = (): void => {
    // The end of the body may have arrived, so the parser must not report that it is missing.
    if (!isBetweenMessages()) socket.destroy();
    waiting = undefined;
  };

  const pass = (): void => {
    while (waiting && !isScheduled && !socket.destroyed && !isBlocked()) passSlice(waiting);
    // A response that is being read may still be written to its end.
    if (waiting && hasEnded && !isScheduled && !isParserPaused()) discardHeld();
    if (socket.destroyed) return;
    if (waiting) {
      if (!isScheduled) waiting = withoutUnusedBytes(waiting);
      // Nothing more is read until the parser has what has been read; the event of a resumption continues.
      socket.pause();
      return;
    }
    if (isScheduled) return;
    if (hasEnded) {
      hasEnded = false;
      finish.call(socket);
    } else if (socket.isPaused() && !isParserPaused() && !isBodyHeld()) socket.resume();
  };

  function schedule(): void {
    if (isScheduled || (!waiting && !hasEnded)) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      pass();
    });
  }

  socket.off('data', parse).off('end', finish);
  socket.on('data', (bytes: Buffer) => {
    waiting = waiting ? Buffer.concat([waiting, bytes]) : bytes;
    pass();
  });
  socket.on('end', () => {
    hasEnded = true;
    pass();
  });
  socket.on('resume', () => pass());
  socket.once('close', () => {
    waiting = undefined;
  });
  return {
    begin: (request) => {
      current = request;
      begun += 1;
    },
    release: schedule,
    passedBytes: () => passedBytes,
    bodyBytes: () => (isBetweenMessages() ? 0 : bodyBytes),
    waitingBytes: () => (waiting?.length ?? 0) + socket.readableLength,
    isHeld: () => waiting !== undefined && isOverLimit(),
  };
}
