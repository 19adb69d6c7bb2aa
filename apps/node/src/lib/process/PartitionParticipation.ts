import type { PartitionId } from '@buckthornslip/common';

/**
 * Lets a node take part in the leases that its place in the fleet calls for.
 *
 * @internal
 */
export interface PartitionParticipation {
  readonly run: () => void;
  /** @returns Partitions that this node holds now. */
  readonly heldPartitions: () => readonly PartitionId[];
  readonly close: () => void;
}
