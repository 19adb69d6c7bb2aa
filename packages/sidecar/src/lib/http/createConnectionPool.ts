import { Agent } from 'node:http';
import type { Socket } from 'node:net';

import { splitAddress } from '@buckthornslip/calls';
import type { Clock } from '@buckthornslip/common';

import type { ConnectionPool } from './ConnectionPool';
import { createPiecePacer } from './createPiecePacer';

/** Settings of a connection pool. */
interface ConnectionPoolOptions {
  readonly clock: Pick<Clock, 'setTimer'>;
  /** "address:port". */
  readonly address: string;
  readonly maximumConnections: number;
  /** Idle timeout of this side, in milliseconds. */
  readonly idleMilliseconds: number;
  readonly connectMilliseconds: number;
}

/** Share of the idle timeout stated by the server after which a connection is not reused. */
const SAFE_IDLE_SHARE = 0.7;

const MILLISECONDS_PER_SECOND = 1_000;

function idleLimitOf(socket: Socket, idleMilliseconds: number): number {
  // Node.js keeps the last request on the socket; its response may state an idle timeout in whole seconds.
  const message = (socket as Socket & { _httpMessage?: { res?: { headers: NodeJS.Dict<string> } } })
    ._httpMessage;
  const seconds = /timeout=(\d+)/.exec(message?.res?.headers['keep-alive'] ?? '')?.[1];
  if (seconds === undefined) return idleMilliseconds;
  return Math.min(idleMilliseconds, Number(seconds) * MILLISECONDS_PER_SECOND * SAFE_IDLE_SHARE);
}

/**
 * Creates the connection pool of one address. A connection carries one request at a time. Bytes received on an idle
 * connection belong to no request; the connection is closed, so that they can't be read as the next response.
 *
 * @param options - The address and the limits of its connections.
 * @returns A pool without open connections.
 * @internal
 */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
  const { address, clock, connectMilliseconds, idleMilliseconds, maximumConnections } = options;
  const agent = new Agent({
    keepAlive: true,
    maxSockets: maximumConnections,
    maxFreeSockets: maximumConnections,
    scheduling: 'lifo',
    noDelay: true,
  });
  const destroy = function onUnexpected(this: Socket): void {
    this.destroy();
  };
  const keepSocketAlive = agent.keepSocketAlive.bind(agent);
  const reuseSocket = agent.reuseSocket.bind(agent);
  agent.keepSocketAlive = (stream) => {
    const socket = stream as Socket;
    keepSocketAlive(socket);
    socket.setTimeout(idleLimitOf(socket, idleMilliseconds), destroy);
    socket.on('data', destroy);
    return true;
  };
  agent.reuseSocket = (stream, request) => {
    const socket = stream as Socket;
    reuseSocket(socket, request);
    socket.off('data', destroy);
    socket.off('timeout', destroy);
    socket.setTimeout(0);
  };
  return {
    agent,
    ...splitAddress(address),
    connectMilliseconds,
    pacer: createPiecePacer(clock),
    closeIdle: () => {
      Object.values(agent.freeSockets).forEach((sockets) => {
        sockets?.forEach((socket) => socket.destroy());
      });
    },
    close: () => agent.destroy(),
  };
}
