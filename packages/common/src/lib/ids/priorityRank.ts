import type { Priority } from './Priority';

/**
 * Rank of each priority. Calls of a lower rank are more important and shed later.
 *
 * @public
 */
export const priorityRank: Readonly<Record<Priority, number>> = {
  critical: 0,
  high: 1,
  normal: 2,
  low: 3,
};
