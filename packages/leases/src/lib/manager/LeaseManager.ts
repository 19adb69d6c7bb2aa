import type { NodeIdentity, PartitionId, Result } from '@buckthornslip/common';
import type { Observable } from 'rxjs';

import type { LeaseError } from './LeaseError';
import type { HeldLease } from './HeldLease';
import type { LeaseLocation } from './LeaseLocation';

/**
 * Takes part in the leases of partitions.
 *
 * @public
 */
export interface LeaseManager {
  /**
   * Begins to take part in a partition as holder, candidate or applicant.
   *
   * @param partition - The partition.
   */
  readonly participate: (partition: PartitionId) => void;

  /**
   * @param partition - The partition.
   * @returns The lease if this node holds it now.
   */
  readonly heldLease: (partition: PartitionId) => HeldLease | undefined;

  /** Emits a hold when this node becomes holder, and undefined when it stops being holder. */
  readonly heldLeaseChanges: (partition: PartitionId) => Observable<HeldLease | undefined>;

  /**
   * Finds the holder, from what this node knows or from the store.
   *
   * @param partition - The partition.
   */
  readonly locate: (partition: PartitionId) => Promise<Result<LeaseLocation, LeaseError>>;

  /** Drops what is known of a partition's holder, after the holder did not answer as holder. */
  readonly forgetLocation: (partition: PartitionId) => void;

  /**
   * Removes a candidate that does not answer from the record, so that it can never take over.
   *
   * @returns Success only when the store has confirmed it.
   */
  readonly removeCandidate: (
    partition: PartitionId,
    candidate: NodeIdentity,
  ) => Promise<Result<void, LeaseError>>;

  /** Hands over every lease for a planned stop. */
  readonly handOverAll: () => Promise<void>;
}
