import type { Clock } from '@buckthornslip/common';

import type { ConnectionPool } from './ConnectionPool';
import { createConnectionPool } from './createConnectionPool';

/** Limits of the connection pool of one address. */
interface ConnectionPoolLimits {
  readonly maximumConnections: number;
  readonly idleMilliseconds: number;
  readonly connectMilliseconds: number;
}

/** Connection pools by address. */
export interface ConnectionPools {
  readonly get: (address: string) => ConnectionPool;
  readonly close: () => void;
}

/**
 * @param clock - Source of time.
 * @param limits - Returns the limits of a new connection pool.
 * @returns An empty set of connection pools.
 * @internal
 */
export function createConnectionPools(
  clock: Clock,
  limits: () => ConnectionPoolLimits,
): ConnectionPools {
  const pools = new Map<string, ConnectionPool>();
  return {
    get: (address) => {
      const known = pools.get(address);
      if (known) return known;
      const created = createConnectionPool({ address, clock, ...limits() });
      pools.set(address, created);
      return created;
    },
    close: () => pools.forEach((pool) => pool.close()),
  };
}
