import { connect } from 'node:net';

import type { ConnectionPool } from './ConnectionPool';

/** Timeout for connecting, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
 * Tries once to connect to the address of a pool.
 *
 * @param pool - Connection pool with the address.
 * @returns Whether the connection was refused, which proves that no process is listening there.
 * @internal
 */
export function refusesConnections(pool: ConnectionPool): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({
      host: pool.host,
      port: pool.port,
      timeout: CONNECT_TIMEOUT_MILLISECONDS,
    });
    const finish = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}
