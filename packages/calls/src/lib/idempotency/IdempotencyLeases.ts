import type { NodeIdentity, PartitionId, Result } from '@buckthornslip/common';
import type { LeaseError } from '@buckthornslip/leases';

import type { HeldIdempotencyLease } from './HeldIdempotencyLease';

/**
 * The lease operations that an idempotency registry needs for its partition.
 *
 * @public
 */
export interface IdempotencyLeases {
  /** @returns The lease, if this node currently holds it. */
  readonly heldLease: (partition: PartitionId) => HeldIdempotencyLease | undefined;

  /**
   * Highest epoch that this node knows or is trying to start. A node that tries to take over must no longer accept
   * bindings of the previous epoch, because they might be missing from its state when it becomes the holder.
   */
  readonly fencedEpoch: (partition: PartitionId) => number;

  readonly removeCandidate: (
    partition: PartitionId,
    candidate: NodeIdentity,
  ) => Promise<Result<void, LeaseError>>;
}
