/**
 * Collects the pieces of a body. Small pieces are copied together, since each of them costs far more memory than its bytes.
 *
 * @public
 */
export interface ByteCollector {
  readonly add: (piece: Buffer) => void;
  /** @returns Collected bytes. */
  readonly size: () => number;
  /** @returns The collected bytes, which are removed. */
  readonly take: () => Buffer;
}

/** Pieces that are kept before they are copied together. */
const MAXIMUM_PIECES = 64;

/**
 * @returns An empty collector.
 * @public
 */
export function createByteCollector(): ByteCollector {
  let blocks: Buffer[] = [];
  let pieces: Buffer[] = [];
  let size = 0;
  return {
    add: (piece) => {
      pieces.push(piece);
      size += piece.length;
      if (pieces.length < MAXIMUM_PIECES) return;
      blocks.push(Buffer.concat(pieces));
      pieces = [];
      // Each byte of a long body of tiny pieces is copied once more for each 4,096 pieces that follow.
      if (blocks.length < MAXIMUM_PIECES) return;
      blocks = [Buffer.concat(blocks)];
    },
    size: () => size,
    take: () => {
      const all = [...blocks, ...pieces];
      blocks = [];
      pieces = [];
      size = 0;
      return all.length === 1 ? (all[0] as Buffer) : Buffer.concat(all);
    },
  };
}
