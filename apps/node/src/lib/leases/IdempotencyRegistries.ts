import type { IdempotencyLeases, IdempotencyRegistry } from '@buckthornslip/calls';
import type { PartitionId, ServiceId } from '@buckthornslip/common';

/**
 * This node's parts in the registries of services.
 *
 * @internal
 */
export interface IdempotencyRegistries {
  /** Sets the leases of the registries' partitions. They need the registry themselves, so that they come second. */
  readonly setLeases: (leases: IdempotencyLeases) => void;

  /** @returns The part in a service's home, if this node has one. */
  readonly find: (service: ServiceId) => IdempotencyRegistry | undefined;

  /** @returns The part in the home with a partition, created if need be; undefined for other partitions. */
  readonly open: (partition: PartitionId) => IdempotencyRegistry | undefined;
}
