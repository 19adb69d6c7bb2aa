import type { Liveness } from './Liveness';

/**
 * Precedence of liveness values: among records of the same version, the highest one wins.
 *
 * @internal
 */
export const livenessPrecedence: Readonly<Record<Liveness, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};
