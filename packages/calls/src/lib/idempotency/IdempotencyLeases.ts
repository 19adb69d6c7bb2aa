import type { NodeIdentity, PartitionId, Result } from '@buckthornslip/common';
import type { LeaseError } from '@buckthornslip/leases';

import type { IdempotencyHold } from './IdempotencyHold';

/**
 * What a home needs of the lease of its partition.
 *
 * @public
 */
export interface IdempotencyLeases {
  /** @returns The lease, if this node holds it now. */
  readonly hold: (partition: PartitionId) => IdempotencyHold | undefined;

  /**
   * Highest epoch that this node knows or is trying to begin. A node that tries to take over must not accept
   * bindings of the earlier epoch any more, because it might not have them when it becomes the home.
   */
  readonly fencedEpoch: (partition: PartitionId) => number;

  readonly removeCandidate: (
    partition: PartitionId,
    candidate: NodeIdentity,
  ) => Promise<Result<void, LeaseError>>;
}
