import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/**
 * Bytes that a connection passes before it goes silent in both directions without closing.
 *
 * @public
 */
export interface ProxyLimits {
  readonly towardsServerBytes: number;
  readonly towardsClientBytes: number;
}

/**
 * A TCP relay whose connections can go silent.
 *
 * @public
 */
export interface FaultProxy {
  readonly listen: () => Promise<string>;
  /** Limits of connections that open from now on. */
  readonly setLimits: (limits: ProxyLimits) => void;
  /** Silences all open connections for good. */
  readonly silenceOpen: () => void;
  /** Resets all open connections. */
  readonly resetOpen: () => void;
  /** @returns Connections accepted so far. */
  readonly accepted: () => number;
  readonly close: () => void;
}

const UNLIMITED: ProxyLimits = { towardsServerBytes: Infinity, towardsClientBytes: Infinity };

/** A reset after the end of writing fails in Node.js 20 and leaves the handle open. */
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
    // A silent connection shows neither side that the other one has left.
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
 * Creates a relay.
 *
 * @param target - "address:port" that connections lead to.
 * @returns The relay, not yet listening.
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
    silenceOpen: () => connections.forEach((connection) => connection.silence()),
    resetOpen: () => connections.forEach((connection) => connection.reset()),
    accepted: () => accepted,
    close: () => {
      connections.forEach((connection) => connection.reset());
      server.close();
    },
  };
}
