import type { PartitionId, ServiceId } from '@buckthornslip/common';

/**
 * @param service - A service.
 * @returns The partition of the service's idempotency registry. Its holder binds the keys.
 * @public
 */
export function idempotencyPartition(service: ServiceId): PartitionId {
  return `home/${service}` as PartitionId;
}
