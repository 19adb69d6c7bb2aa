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
  /** All nodes that may be candidates, including those listed by a write that the store has not confirmed. */
  readonly candidates: readonly LeaseNode[];
  /**
   * Whether this epoch began without the state of the earlier holder. False if there was no earlier
   * holder.
   */
  readonly startedWithoutState: boolean;
  /** Wall-clock time at which this node acquired the lease, in milliseconds since the Unix epoch. */
  readonly takenAtWallMilliseconds: number;

  /**
   * Remaining validity of the lease by this node's monotonic clock. Check it before each use.
   *
   * @returns Milliseconds left; zero or less if the lease is no longer held.
   */
  readonly remainingMilliseconds: () => number;
}
