import type { Priority } from './Priority';

/**
 * Rank of each priority. A smaller rank is more important and is shed later.
 *
 * @public
 */
export const priorityRank: Readonly<Record<Priority, number>> = {
  critical: 0,
  high: 1,
  normal: 2,
  low: 3,
};
