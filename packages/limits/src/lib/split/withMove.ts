import type { RegionId } from '@buckthornslip/common';

import type { SplitMove } from './planMoves';
import type { AccountSplit } from './SplitRecord';

/**
 * Applies a move to a split.
 *
 * @param split - The split before the move.
 * @param donor - The region that gives up the part.
 * @param move - The part and its recipient.
 * @returns The split after the move.
 * @internal
 */
export function withMove(split: AccountSplit, donor: RegionId, move: SplitMove): AccountSplit {
  const { parts, wants } = split;
  const moved = new Map(parts)
    .set(donor, (parts.get(donor) ?? 0) - move.part)
    .set(move.recipient, (parts.get(move.recipient) ?? 0) + move.part);
  return { parts: moved, wants };
}
