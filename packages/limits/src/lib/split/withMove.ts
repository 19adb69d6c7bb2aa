import type { RegionId } from '@buckthornslip/common';

import type { SplitMove } from './planMoves';
import type { AccountSplit } from './SplitRecord';

/**
 * @param split - The split before the move.
 * @param giver - The region that gives.
 * @param move - What it gives to whom.
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
