import type { PartitionId } from '@buckthornslip/common';

/**
 * @param partition - The partition.
 * @returns Store key of the partition's lease record.
 * @internal
 */
export function leaseKey(partition: PartitionId): string {
  return `leases/${partition}`;
}
