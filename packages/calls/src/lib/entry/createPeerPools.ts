import type { Member, Membership } from '@buckthornslip/membership';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ConnectionPool } from '../http/ConnectionPool';
import { createConnectionPool } from '../http/createConnectionPool';

/** Maximum number of connections to one peer. A node sends only a small part of its calls to each peer. */
const CONNECTIONS_PER_PEER = 256;

/** Number of pools above which pools without connections are removed. */
const MAXIMUM_POOLS = 256;

/**
 * Connection pools of peers, by address.
 *
 * @internal
 */
export interface PeerPools {
  readonly get: (member: Member) => ConnectionPool;
  readonly close: () => void;
}

/**
 * Creates the connection pools of peers.
 *
 * @param dependencies - Logger, and membership, which is notified of peers whose connections time out.
 * @returns The pools.
 * @internal
 */
export function createPeerPools(dependencies: {
  readonly membership: Membership;
  readonly logger: EventLogger;
}): PeerPools {
  const pools = new Map<string, ConnectionPool>();
  const dropUnused = (): void => {
    for (const [address, pool] of pools) if (pool.size() === 0) pools.delete(address);
  };
  return {
    get: ({ host, peerAddress }) => {
      const known = pools.get(peerAddress);
      if (known !== undefined) return known;
      if (pools.size >= MAXIMUM_POOLS) dropUnused();
      const created = createConnectionPool(peerAddress, CONNECTIONS_PER_PEER, () => {
        dependencies.logger.log('connectionPoolRetired', { address: peerAddress, host });
        dependencies.membership.suspect(host);
      });
      pools.set(peerAddress, created);
      return created;
    },
    close: () => {
      for (const pool of pools.values()) pool.close();
    },
  };
}
