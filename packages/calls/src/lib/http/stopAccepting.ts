import type { Server } from 'node:http';
import { Server as NetServer } from 'node:net';

import { waitForQuietPoll } from './waitForQuietPoll';

/**
 * Stops accepting connections. Open connections stay open, so that requests on them are still answered.
 *
 * @param server - The server, which may have been closed already.
 * @public
 */
export async function stopAccepting(server: Server): Promise<void> {
  // Connections that the kernel has established but this process has not accepted are reset when the listener closes.
  await waitForQuietPoll(server);
  // http.Server.close() would also close idle connections, on which a request may already be in flight.
  if (server.listening) NetServer.prototype.close.call(server);
}
