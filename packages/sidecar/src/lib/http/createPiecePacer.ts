import type { Clock } from '@buckthornslip/common';

/**
 * Limits the processor time that streams of tiny pieces take together, so that other requests are served beside them.
 *
 * @internal
 */
export interface PiecePacer {
  /**
   * @param pieces - Pieces that a stream has delivered from one read.
   * @param resume - Called when the stream may be read again.
   * @returns Whether it must not be read until then.
   */
  readonly hold: (pieces: number, resume: () => void) => boolean;
}

/** Pieces of one read that need not wait. Reads take up to 64 KiB, so larger pieces are rarely more. */
const UNPACED_PIECES = 64;

/** Waiting time for each piece, in milliseconds. A piece takes about 4 µs, so all streams together take a fifth of a core. */
const MILLISECONDS_PER_PIECE = 0.02;

interface HeldStream {
  readonly milliseconds: number;
  readonly resume: () => void;
}

/**
 * Creates a pacer. The streams that it holds wait one after the other.
 *
 * @param clock - Source of time.
 * @returns The pacer.
 * @internal
 */
export function createPiecePacer(clock: Pick<Clock, 'setTimer'>): PiecePacer {
  const held: HeldStream[] = [];

  const waitForNext = (): void => {
    const next = held[0];
    if (!next) return;
    clock.setTimer(next.milliseconds, () => {
      held.shift();
      next.resume();
      waitForNext();
    });
  };

  return {
    hold: (pieces, resume) => {
      if (pieces <= UNPACED_PIECES) return false;
      held.push({ milliseconds: pieces * MILLISECONDS_PER_PIECE, resume });
      if (held.length === 1) waitForNext();
      return true;
    },
  };
}
