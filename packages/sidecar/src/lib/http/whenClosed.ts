import type { Readable } from 'node:stream';

/**
 * Calls a function when a stream has closed. A stream that fails early may have closed before anyone listens for it.
 *
 * @param stream - The stream.
 * @param callback - Called once, immediately if the stream has closed already.
 * @internal
 */
export function whenClosed(stream: Readable, callback: () => void): void {
  if (stream.closed) callback();
  else stream.once('close', callback);
}
