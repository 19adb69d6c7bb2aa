import type {
  IdempotencyLeases,
  IdempotencyPeers,
  IdempotencyRegistry,
} from '@buckthornslip/calls';
import { createIdempotencyRegistry, idempotencyPartition } from '@buckthornslip/calls';
import type { Clock, PartitionId } from '@buckthornslip/common';

import type { HomeRegistry } from './HomeRegistry';

const HOME_PREFIX = 'home/';

/**
 * Creates the registry of homes.
 *
 * @param clock - Source of time.
 * @param peers - Way to other nodes.
 * @returns An empty registry.
 * @internal
 */
export function createHomeRegistry(clock: Clock, peers: IdempotencyPeers): HomeRegistry {
  let leases: IdempotencyLeases | undefined;
  const homes = new Map<PartitionId, IdempotencyRegistry>();
  return {
    connect: (connected) => {
      leases = connected;
    },
    find: (service) => homes.get(idempotencyPartition(service)),
    open: (partition) => {
      if (!leases || !partition.startsWith(HOME_PREFIX)) return undefined;
      const home =
        homes.get(partition) ?? createIdempotencyRegistry({ clock, partition, leases, peers });
      homes.set(partition, home);
      return home;
    },
  };
}
