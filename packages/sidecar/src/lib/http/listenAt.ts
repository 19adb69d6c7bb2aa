import type { Server } from 'node:net';

import { splitAddress } from '@buckthornslip/calls';

/** Length of the queue of connections that have not been accepted yet. */
const BACKLOG = 1_024;

/**
 * Starts listening at an address.
 *
 * @param server - A TCP or HTTP server.
 * @param address - "address:port".
 * @returns A promise that resolves when the server is listening and rejects if the address can't be used.
 * @public
 */
export function listenAt(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ ...splitAddress(address), backlog: BACKLOG }, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
