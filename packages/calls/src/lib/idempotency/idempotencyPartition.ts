import type { PartitionId, ServiceId } from '@buckthornslip/common';

/**
 * @param service - A service.
 * @returns The partition whose holder is the home of the service's idempotency keys.
 * @public
 */
export function idempotencyPartition(service: ServiceId): PartitionId {
  return `home/${service}` as PartitionId;
}
