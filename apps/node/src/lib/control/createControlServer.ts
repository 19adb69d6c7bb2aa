import { Server, ServerCredentials } from '@grpc/grpc-js';

import type { ControlServer } from './ControlServer';

/** Largest message, in bytes. It must have room for a manifest near the store's value limit. */
const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Creates a gRPC server without services.
 *
 * @returns The server, without any service.
 * @internal
 */
export function createControlServer(): ControlServer {
  const server = new Server({ 'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES });
  return {
    add: (definition, implementation) => server.addService(definition, implementation),
    listen: ({ address, port }) =>
      new Promise((resolve, reject) => {
        const credentials = ServerCredentials.createInsecure();
        server.bindAsync(`${address}:${port}`, credentials, (error) => {
          if (error) reject(error);
          else resolve();
        });
      }),
    close: () => server.forceShutdown(),
  };
}
