import type { Priority } from '@buckthornslip/common';
import { priorityRank } from '@buckthornslip/common';

/** Priorities, the most urgent first. */
const PRIORITIES = Object.entries(priorityRank)
  .sort(([, left], [, right]) => left - right)
  .map(([name]) => name as Priority);

/**
 * @param rank - Priority rank of a call.
 * @returns The priority of that rank.
 * @internal
 */
export function priorityOfRank(rank: number): Priority {
  return PRIORITIES[Math.min(rank, PRIORITIES.length - 1)] as Priority;
}
