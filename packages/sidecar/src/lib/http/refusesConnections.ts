import { connect } from 'node:net';

import { splitAddress } from '@buckthornslip/calls';

/** Timeout for connecting to a process on the same host, in milliseconds. */
const CONNECT_MILLISECONDS = 300;

/**
 * Finds out whether the process at an address has ended, by opening and closing a connection.
 *
 * @param address - "address:port".
 * @returns Whether connections are refused; false if the address does not respond in time.
 * @internal
 */
export function refusesConnections(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: CONNECT_MILLISECONDS });
    socket.once('connect', () => {
      resolve(false);
      socket.destroy();
    });
    socket.once('timeout', () => {
      resolve(false);
      socket.destroy();
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      resolve(error.code === 'ECONNREFUSED');
    });
  });
}
