import type { IdempotencyReplica } from './IdempotencyReplica';

/**
 * The part of a lease hold that a home uses.
 *
 * @public
 */
export interface IdempotencyHold {
  readonly epoch: number;
  readonly candidates: readonly IdempotencyReplica[];
  /** Whether this epoch began without the earlier holder's state. */
  readonly startedWithoutState: boolean;
  readonly takenAtWallMilliseconds: number;
  readonly remainingMilliseconds: () => number;
}
