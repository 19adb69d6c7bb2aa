import type {
  IdempotencyLeases,
  IdempotencyPeers,
  IdempotencyRegistry,
} from '@buckthornslip/calls';
import { createIdempotencyRegistry, idempotencyPartition } from '@buckthornslip/calls';
import type { Clock, PartitionId } from '@buckthornslip/common';

import type { IdempotencyRegistries } from './IdempotencyRegistries';

const PARTITION_PREFIX = 'home/';

/**
 * Creates the idempotency registries of a node.
 *
 * @param clock - Source of time.
 * @param peers - Client of the other nodes.
 * @returns The registries, none of them open.
 * @internal
 */
export function createIdempotencyRegistries(
  clock: Clock,
  peers: IdempotencyPeers,
): IdempotencyRegistries {
  let leases: IdempotencyLeases | undefined;
  const registries = new Map<PartitionId, IdempotencyRegistry>();
  return {
    setLeases: (leaseAccess) => {
      leases = leaseAccess;
    },
    find: (service) => registries.get(idempotencyPartition(service)),
    open: (partition) => {
      if (!leases || !partition.startsWith(PARTITION_PREFIX)) return undefined;
      const registry =
        registries.get(partition) ?? createIdempotencyRegistry({ clock, partition, leases, peers });
      registries.set(partition, registry);
      return registry;
    },
  };
}
