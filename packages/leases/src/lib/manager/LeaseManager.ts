import type { NodeIdentity, PartitionId, Result } from '@buckthornslip/common';
import type { Observable } from 'rxjs';

import type { HeldLease } from './HeldLease';
import type { LeaseError } from './LeaseError';
import type { LeaseLocation } from './LeaseLocation';

/**
 * Acquires, renews and locates the leases of partitions.
 *
 * @public
 */
export interface LeaseManager {
  /**
   * Starts to participate in a partition, as its holder, as a candidate or as a node that may become one.
   *
   * @param partition - The partition.
   */
  readonly participate: (partition: PartitionId) => void;

  /**
   * @param partition - The partition.
   * @returns The lease if this node currently holds it.
   */
  readonly heldLease: (partition: PartitionId) => HeldLease | undefined;

  /** Emits the lease when this node acquires it or its candidates change, and undefined when it ends. */
  readonly heldLeaseChanges: (partition: PartitionId) => Observable<HeldLease | undefined>;

  /**
   * Finds the holder from the state of this node, from other members or from the store.
   *
   * @param partition - The partition.
   */
  readonly locate: (partition: PartitionId) => Promise<Result<LeaseLocation, LeaseError>>;

  /** Discards the known location of a partition's holder after that node did not answer as the holder. */
  readonly forgetLocation: (partition: PartitionId) => void;

  /**
   * Removes a candidate that does not answer from the record, so that it can't take over.
   *
   * @returns Success only after the store has confirmed the removal.
   */
  readonly removeCandidate: (
    partition: PartitionId,
    candidate: NodeIdentity,
  ) => Promise<Result<void, LeaseError>>;

  /** Hands over all held leases before a planned stop. */
  readonly handOverAll: () => Promise<void>;
}
