import type { PartitionId, RegionId } from '@buckthornslip/common';

/**
 * Builds the id of the limits partition of a group in a region.
 *
 * @param region - The region.
 * @param group - Zero-based number of the group.
 * @returns The partition id.
 * @public
 */
export function limitsPartition(region: RegionId, group: number): PartitionId {
  return `limits/${region}/${group}` as PartitionId;
}
