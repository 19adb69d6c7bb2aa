import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

import { createByteCollector } from '@buckthornslip/common';

import type { PiecePacer } from './createPiecePacer';
import { whenClosed } from './whenClosed';

/** Options of a joined stream. */
interface CoalesceOptions {
  readonly pacer: PiecePacer;
  /** Called when the joined stream is closed before its end; by default, it destroys the source. */
  readonly closeSource?: () => void;
}

/**
 * Joins the pieces of a body that arrive together, such as the chunks of one read. Streams limit what they buffer by bytes, but
 * each piece costs far more memory than its bytes, and a frame if it is sent to another node.
 *
 * @param source - The request or response.
 * @param options - Pacer, and what closes the source.
 * @returns A stream of its body. It fails if the source closes before its end.
 * @internal
 */
export function coalesce(source: IncomingMessage, options: CoalesceOptions): Readable {
  const { closeSource = () => source.destroy(), pacer } = options;
  const collector = createByteCollector();
  let pieces = 0;
  let isHeld = false;
  let isWanted = true;
  let isPaused = false;
  const joined = new Readable({
    read: () => {
      isWanted = true;
      readOn();
    },
    destroy: (error, done) => {
      closeSource();
      done(error);
    },
  });

  function readOn(): void {
    if (!isPaused || !isWanted || isHeld) return;
    isPaused = false;
    source.resume();
    // The connection of a complete message may already serve another one.
    if (!source.complete) source.socket.resume();
  }

  /**
   * Stops reading. A paused stream would go on reading until its buffer is full, with an object for each piece. It may resume the
   * connection once more in this tick.
   */
  const pause = (): void => {
    isPaused = true;
    source.pause();
    process.nextTick(() => {
      if (isPaused && !source.complete) source.socket.pause();
    });
  };

  const flush = (): void => {
    const read = pieces;
    pieces = 0;
    if (joined.destroyed || read === 0) return;
    isHeld = pacer.hold(read, () => {
      isHeld = false;
      readOn();
    });
    isWanted = joined.push(collector.take());
    if (isHeld || !isWanted) pause();
  };

  source.on('data', (piece: Buffer) => {
    collector.add(piece);
    pieces += 1;
    // All pieces of one read from the connection are emitted before the next tick.
    if (pieces === 1) process.nextTick(flush);
  });
  source.once('end', () => {
    flush();
    joined.push(null);
  });
  // The close event follows; an error without a listener would end the process.
  source.on('error', () => undefined);
  joined.on('error', () => undefined);
  whenClosed(source, () => {
    if (!source.readableEnded) joined.destroy(source.errored ?? new Error('stream was truncated'));
  });
  return joined;
}
