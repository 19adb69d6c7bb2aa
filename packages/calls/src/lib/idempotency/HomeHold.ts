import type { HomeReplica } from './HomeReplica';

/**
 * The part of a lease hold that a home uses.
 *
 * @public
 */
export interface HomeHold {
  readonly epoch: number;
  readonly candidates: readonly HomeReplica[];
  /** Whether this epoch began without the earlier holder's state. */
  readonly startedWithoutState: boolean;
  readonly takenAtWallMilliseconds: number;
  readonly remainingMilliseconds: () => number;
}
