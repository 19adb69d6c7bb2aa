import { Agent } from 'node:http';
import type { Duplex } from 'node:stream';

import type { ConnectionPool } from './ConnectionPool';
import { splitAddress } from './splitAddress';

/** Silent connections in a row after which the whole pool is retired. */
const TIMEOUTS_TO_RETIRE = 3;

/** Idle connections are closed after this time, before the other side's own limit (60 s on nodes), in milliseconds. */
const IDLE_MILLISECONDS = 30_000;

/**
 * Destroys connections on which bytes arrive while no call uses them. Such bytes are a late or second answer to an
 * earlier call, and would be read as the answer to the next one.
 */
function guardIdleConnections(agent: Agent): void {
  const destroyOnData = function destroyOnData(this: Duplex): void {
    this.destroy();
  };
  const keep = agent.keepSocketAlive.bind(agent);
  const reuse = agent.reuseSocket.bind(agent);
  Object.assign(agent, {
    keepSocketAlive: (socket: Duplex) => {
      socket.on('data', destroyOnData);
      return keep(socket);
    },
    reuseSocket: (socket: Duplex, request: Parameters<Agent['reuseSocket']>[1]) => {
      socket.off('data', destroyOnData);
      reuse(socket, request);
    },
  });
}

function createAgent(connections: number): Agent {
  const agent = new Agent({
    keepAlive: true,
    maxSockets: connections,
    maxFreeSockets: connections,
    scheduling: 'lifo',
    timeout: IDLE_MILLISECONDS,
    noDelay: true,
  });
  // The pool has one destination; by default, the agent composes its name from all options for each request.
  agent.getName = () => 'pool';
  guardIdleConnections(agent);
  return agent;
}

function countSockets(sockets: NodeJS.ReadOnlyDict<unknown[]>): number {
  return Object.values(sockets).reduce((sum, list) => sum + (list?.length ?? 0), 0);
}

/** Running calls keep their connections; the agent closes these when the calls end. */
function retire(agent: Agent): void {
  Object.assign(agent, { keepAlive: false });
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of [...(sockets ?? [])]) socket.destroy();
  }
}

/**
 * Creates a pool of keep-alive connections, each with one call at a time.
 *
 * @param address - "address:port" of the other side.
 * @param connections - Largest number of connections.
 * @param onRetired - Called after three silent connections in a row.
 * @returns The pool.
 * @internal
 */
export function createConnectionPool(
  address: string,
  connections: number,
  onRetired: () => void,
): ConnectionPool {
  const { host, port } = splitAddress(address);
  let limit = connections;
  let agent = createAgent(limit);
  let consecutiveTimeouts = 0;
  return {
    authority: address,
    host,
    port,
    agent: () => agent,
    resize: (wanted) => {
      limit = wanted;
      agent.maxSockets = wanted;
      agent.maxFreeSockets = wanted;
    },
    countTimeout: () => {
      consecutiveTimeouts += 1;
      if (consecutiveTimeouts < TIMEOUTS_TO_RETIRE) return;
      consecutiveTimeouts = 0;
      retire(agent);
      agent = createAgent(limit);
      onRetired();
    },
    countResponse: () => {
      consecutiveTimeouts = 0;
    },
    close: () => retire(agent),
    size: () => countSockets(agent.sockets) + countSockets(agent.freeSockets),
  };
}
