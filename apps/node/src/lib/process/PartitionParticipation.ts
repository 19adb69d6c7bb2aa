import type { PartitionId } from '@buckthornslip/common';

/**
 * Takes part in the leases of the partitions that this node is eligible for.
 *
 * @internal
 */
export interface PartitionParticipation {
  readonly run: () => void;
  /** @returns Partitions whose lease this node holds. */
  readonly heldPartitions: () => readonly PartitionId[];
  readonly close: () => void;
}
