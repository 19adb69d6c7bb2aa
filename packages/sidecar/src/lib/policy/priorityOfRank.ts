import type { Priority } from '@buckthornslip/common';
import { priorityRank } from '@buckthornslip/common';

/** Names of the levels, the most urgent first. */
const PRIORITIES = Object.entries(priorityRank)
  .sort(([, left], [, right]) => left - right)
  .map(([name]) => name as Priority);

/**
 * @param level - Level of a call.
 * @returns Name of the level.
 * @internal
 */
export function priorityOfRank(rank: number): Priority {
  return PRIORITIES[Math.min(rank, PRIORITIES.length - 1)] as Priority;
}
