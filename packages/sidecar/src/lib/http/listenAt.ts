import type { Server } from 'node:net';

import { splitAddress } from '@buckthornslip/calls';

/** Connections that may wait to be accepted. */
const BACKLOG = 1_024;

/**
 * Begins to listen.
 *
 * @param server - The server; one for HTTP is one too.
 * @param address - "address:port".
 * @returns Resolves when the server listens; rejects if the address cannot be used.
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
