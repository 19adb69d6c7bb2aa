import type { IdempotencyLeases, IdempotencyRegistry } from '@buckthornslip/calls';
import type { PartitionId, ServiceId } from '@buckthornslip/common';

/**
 * This node's parts in the homes of services.
 *
 * @internal
 */
export interface HomeRegistry {
  /** Sets the leases of the homes' partitions. They need the registry themselves, so that they come second. */
  readonly connect: (leases: IdempotencyLeases) => void;

  /** @returns The part in a service's home, if this node has one. */
  readonly find: (service: ServiceId) => IdempotencyRegistry | undefined;

  /** @returns The part in the home with a partition, created if need be; undefined for other partitions. */
  readonly open: (partition: PartitionId) => IdempotencyRegistry | undefined;
}
