import type { Clock } from '@buckthornslip/common';
import { Server, ServerCredentials } from '@grpc/grpc-js';
import { etcdProtocol } from '@buckthornslip/wire';

import { createStoreCallCounts } from '../memory/createStoreCallCounts';
import { createStoreEngine } from '../memory/createStoreEngine';
import { createStoreFaults } from '../memory/createStoreFaults';
import type { StoreFaults } from '../memory/StoreFaults';
import { createKvHandlers } from './createKvHandlers';
import { createLeaseHandlers } from './createLeaseHandlers';
import { createWatchHandlers } from './createWatchHandlers';
import type { StoreServer } from './StoreServer';

/** Largest message, in bytes: a transaction with a value of 1 MB. */
const MAXIMUM_MESSAGE_BYTES = 2_000_000;

const bind = (server: Server, listen: string): Promise<number> =>
  new Promise((resolve, reject) => {
    server.bindAsync(listen, ServerCredentials.createInsecure(), (error, port) => {
      if (error) reject(error);
      else resolve(port);
    });
  });

/**
 * Starts an in-memory store server for tests that implements a subset of the etcd v3 protocol.
 *
 * @param options - The clock, "address:port" to listen on (port 0 picks a free one), and fault switches.
 * @returns The running server.
 * @throws If the address cannot be bound.
 * @public
 */
export async function createStoreServer(options: {
  readonly clock: Clock;
  readonly listen: string;
  readonly faults?: StoreFaults;
}): Promise<StoreServer> {
  const { clock, listen, faults = createStoreFaults() } = options;
  const engine = createStoreEngine(clock);
  const calls = createStoreCallCounts();
  const context = { clock, engine, faults, calls };
  const server = new Server({ 'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES });
  server.addService(etcdProtocol.KVService, createKvHandlers(context));
  server.addService(etcdProtocol.WatchService, createWatchHandlers(context));
  server.addService(etcdProtocol.LeaseService, createLeaseHandlers(context));
  const port = await bind(server, listen);
  const address = `${listen.slice(0, listen.lastIndexOf(':'))}:${port}`;
  return { address, faults, calls, compact: engine.compact, close: () => server.forceShutdown() };
}
