import type { ConnectionAgent } from './ConnectionAgent';
import { createConnectionAgent } from './createConnectionAgent';

/** Limits of the connection pool of one address. */
interface AgentLimits {
  readonly maximumConnections: number;
  readonly idleMilliseconds: number;
  readonly connectMilliseconds: number;
}

/** Connection pools by address. */
export interface AgentPool {
  readonly get: (address: string) => ConnectionAgent;
  readonly close: () => void;
}

/**
 * @param limits - Returns the limits of a new connection pool.
 * @returns An empty set of connection pools.
 * @internal
 */
export function createAgentPool(limits: () => AgentLimits): AgentPool {
  const agents = new Map<string, ConnectionAgent>();
  return {
    get: (address) => {
      const known = agents.get(address);
      if (known) return known;
      const created = createConnectionAgent({ address, ...limits() });
      agents.set(address, created);
      return created;
    },
    close: () => agents.forEach((agent) => agent.close()),
  };
}
