import { priorityRank } from '@buckthornslip/common';

const RANK_COUNT = Object.keys(priorityRank).length;

/** Calls after which the counts are halved, so that they follow a change within some seconds at 10 calls a second. */
const HALVED_CALLS = 60;

/**
 * Ranks of the calls that arrive for a route.
 *
 * @internal
 */
export interface RankMix {
  readonly count: (rank: number) => void;
  /** @returns Share of the calls that have a more important rank, 0 to 1. */
  readonly shareBefore: (rank: number) => number;
}

/**
 * @returns A mix with one call of each rank, so that no rank has the share 0.
 * @internal
 */
export function createRankMix(): RankMix {
  const calls = new Float64Array(RANK_COUNT).fill(1);
  let total = RANK_COUNT;
  return {
    count: (rank) => {
      calls[Math.min(rank, RANK_COUNT - 1)]! += 1;
      total += 1;
      if (total < HALVED_CALLS) return;
      for (let index = 0; index < RANK_COUNT; index += 1) calls[index]! /= 2;
      total /= 2;
    },
    shareBefore: (rank) => {
      let before = 0;
      for (let index = 0; index < Math.min(rank, RANK_COUNT); index += 1) before += calls[index]!;
      return before / total;
    },
  };
}
