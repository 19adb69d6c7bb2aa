import { Agent } from 'node:http';
import type { Duplex } from 'node:stream';

import type { ConnectionPool } from './ConnectionPool';
import { splitAddress } from './splitAddress';

/** Number of timed-out connections in a row after which all connections of the pool are retired. */
const TIMEOUTS_TO_RETIRE = 3;

/** Time after which idle connections are closed, in milliseconds. Shorter than the server's limit (60 s on nodes). */
const IDLE_MILLISECONDS = 30_000;

/**
 * Destroys connections on which data arrives while no call uses them. Such data is a late or second response to an
 * earlier call, and would be taken for the response to the next one.
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
  // The pool has a single destination. By default, the agent builds a name from all options for each request.
  agent.getName = () => 'pool';
  guardIdleConnections(agent);
  return agent;
}

function countSockets(sockets: NodeJS.ReadOnlyDict<unknown[]>): number {
  return Object.values(sockets).reduce((sum, list) => sum + (list?.length ?? 0), 0);
}

/** Closes idle connections. Running calls keep theirs, and the agent closes them when the calls end. */
function retire(agent: Agent): void {
  Object.assign(agent, { keepAlive: false });
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of [...(sockets ?? [])]) socket.destroy();
  }
}

/**
 * Creates a pool of keep-alive connections, each with one call at a time.
 *
 * @param address - "address:port" of the server.
 * @param connections - Maximum number of connections.
 * @param onRetired - Called when the connections are retired after three timeouts in a row.
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
