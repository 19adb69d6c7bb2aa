import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/**
 * Number of bytes that a connection forwards before it stalls in both directions without closing.
 *
 * @public
 */
export interface ProxyLimits {
  readonly towardsServerBytes: number;
  readonly towardsClientBytes: number;
}

/**
 * A TCP proxy that can stall or reset its connections.
 *
 * @public
 */
export interface FaultProxy {
  readonly listen: () => Promise<string>;
  /** Sets the limits of connections that are opened later. */
  readonly setLimits: (limits: ProxyLimits) => void;
  /** Stalls all open connections permanently. */
  readonly stopForwarding: () => void;
  /** Resets all open connections. */
  readonly resetOpen: () => void;
  /** @returns Connections accepted so far. */
  readonly accepted: () => number;
  readonly close: () => void;
}

const UNLIMITED: ProxyLimits = { towardsServerBytes: Infinity, towardsClientBytes: Infinity };

/** In Node.js 20, resetting a socket whose writable side has ended fails and leaks the handle. */
function reset(socket: Socket): void {
  if (socket.writable) socket.resetAndDestroy();
  else socket.destroy();
}

function proxyConnection(client: Socket, target: string, limits: ProxyLimits) {
  const [host, port] = target.split(':');
  const server = connect(Number(port), host);
  let silent = false;
  const forward = (from: Socket, to: Socket, limitBytes: number): void => {
    let forwardedBytes = 0;
    from.on('error', () => undefined);
    from.on('data', (chunk: Buffer) => {
      if (silent) return;
      const allowedBytes = Math.max(0, Math.min(chunk.length, limitBytes - forwardedBytes));
      forwardedBytes += chunk.length;
      silent = forwardedBytes > limitBytes;
      if (allowedBytes > 0 && !to.write(chunk.subarray(0, allowedBytes))) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
    // A stalled connection doesn't propagate the close of either side.
    from.on('close', () => {
      if (!silent) to.destroy();
    });
  };
  forward(client, server, limits.towardsServerBytes);
  forward(server, client, limits.towardsClientBytes);
  return {
    silence: () => {
      silent = true;
    },
    reset: () => {
      reset(client);
      reset(server);
    },
  };
}

/**
 * Creates a proxy.
 *
 * @param target - "address:port" to forward connections to.
 * @returns The proxy, not listening.
 * @public
 */
export function createFaultProxy(target: string): FaultProxy {
  const connections = new Set<ReturnType<typeof proxyConnection>>();
  let limits = UNLIMITED;
  let accepted = 0;
  const server = createServer((client) => {
    accepted += 1;
    connections.add(proxyConnection(client, target, limits));
  });
  return {
    listen: () =>
      new Promise((resolve) => {
        server.listen(0, '127.0.0.1', () => {
          resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
        });
      }),
    setLimits: (changed) => {
      limits = changed;
    },
    stopForwarding: () => connections.forEach((connection) => connection.silence()),
    resetOpen: () => connections.forEach((connection) => connection.reset()),
    accepted: () => accepted,
    close: () => {
      connections.forEach((connection) => connection.reset());
      server.close();
    },
  };
}
