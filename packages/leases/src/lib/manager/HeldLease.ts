import type { PartitionId } from '@buckthornslip/common';

import type { LeaseNode } from '../node/LeaseNode';

/**
 * A lease that this node holds.
 *
 * @public
 */
export interface HeldLease {
  readonly partition: PartitionId;
  readonly epoch: number;
  /** Every node that might be a candidate, also by a write that the store has not confirmed. */
  readonly candidates: readonly LeaseNode[];
  /**
   * Whether this epoch began without any knowledge of an earlier holder's state. It is false when there
   * was no earlier holder.
   */
  readonly startedWithoutState: boolean;
  /** Wall-clock time at which this node took the partition, in milliseconds since the Unix epoch. */
  readonly takenAtWallMilliseconds: number;

  /**
   * Time for which the lease is still held, by this node's monotonic clock. Ask before each use.
   *
   * @returns Milliseconds left; zero or less when the lease is not held any more.
   */
  readonly remainingMilliseconds: () => number;
}
