import { Agent } from 'node:http';
import type { Socket } from 'node:net';

import { splitAddress } from '@buckthornslip/calls';

import type { ConnectionAgent } from './ConnectionAgent';

/** What the connections to one address are made from. */
interface ConnectionAgentOptions {
  /** "address:port". */
  readonly address: string;
  readonly maximumConnections: number;
  /** Time after which an idle connection is closed here, in milliseconds. */
  readonly idleMilliseconds: number;
  readonly connectMilliseconds: number;
}

/** Share of the idle time named by the other side after which a connection is not used again. */
const SAFE_IDLE_SHARE = 0.7;

const MILLISECONDS_PER_SECOND = 1_000;

function idleLimitOf(socket: Socket, idleMilliseconds: number): number {
  // Node.js keeps the message of a connection on the socket; its answer may name an idle time in whole seconds.
  const message = (socket as Socket & { _httpMessage?: { res?: { headers: NodeJS.Dict<string> } } })
    ._httpMessage;
  const seconds = /timeout=(\d+)/.exec(message?.res?.headers['keep-alive'] ?? '')?.[1];
  if (seconds === undefined) return idleMilliseconds;
  return Math.min(idleMilliseconds, Number(seconds) * MILLISECONDS_PER_SECOND * SAFE_IDLE_SHARE);
}

/**
 * Creates the connections to one address. One call at a time uses a connection. Bytes that arrive on an idle connection
 * belong to no request; the connection is closed, so that they cannot be taken for the next answer.
 *
 * @param options - The address and its limits.
 * @returns The connections, none of them open.
 * @internal
 */
export function createConnectionAgent(options: ConnectionAgentOptions): ConnectionAgent {
  const { address, connectMilliseconds, idleMilliseconds, maximumConnections } = options;
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
    close: () => agent.destroy(),
  };
}
