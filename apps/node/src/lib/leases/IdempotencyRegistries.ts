import type { IdempotencyLeases, IdempotencyRegistry } from '@buckthornslip/calls';
import type { PartitionId, ServiceId } from '@buckthornslip/common';

/**
 * This node's idempotency registries. The node may be the holder or a replica of each.
 *
 * @internal
 */
export interface IdempotencyRegistries {
  /** Sets the leases of the partitions. Set after creation, because the lease manager depends on the registries. */
  readonly setLeases: (leases: IdempotencyLeases) => void;

  /** @returns The registry of a service, if it is open on this node. */
  readonly find: (service: ServiceId) => IdempotencyRegistry | undefined;

  /** @returns The registry of a partition, created on first use; undefined if the partition isn't that of a registry. */
  readonly open: (partition: PartitionId) => IdempotencyRegistry | undefined;
}
