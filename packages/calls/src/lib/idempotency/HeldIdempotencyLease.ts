import type { IdempotencyReplica } from './IdempotencyReplica';

/**
 * The parts of a held lease that an idempotency registry uses.
 *
 * @public
 */
export interface HeldIdempotencyLease {
  readonly epoch: number;
  readonly candidates: readonly IdempotencyReplica[];
  /** Whether this epoch started without the previous holder's state. */
  readonly startedWithoutState: boolean;
  readonly takenAtWallMilliseconds: number;
  readonly remainingMilliseconds: () => number;
}
