import type { Liveness } from './Liveness';

/**
 * Rank of each liveness; at the same version of a record the higher rank wins.
 *
 * @internal
 */
export const livenessPrecedence: Readonly<Record<Liveness, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};
