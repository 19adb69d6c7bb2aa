import { credentials, type ChannelOptions } from '@grpc/grpc-js';
import { etcdProtocol } from '@buckthornslip/wire';

import type { StoreEndpoint } from './StoreEndpoint';

const channelOptions: ChannelOptions = {
  // Detects dead connections that were never closed, on which a watch would wait forever.
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  // A listing may contain several values of up to 1 MB.
  'grpc.max_receive_message_length': 64_000_000,
};

/**
 * @param address - "address:port" of the endpoint.
 * @returns Clients that connect on first use.
 * @internal
 */
export function createStoreEndpoint(address: string): StoreEndpoint {
  const insecure = credentials.createInsecure();
  const kv = new etcdProtocol.KVClient(address, insecure, channelOptions);
  const watch = new etcdProtocol.WatchClient(address, insecure, channelOptions);
  const lease = new etcdProtocol.LeaseClient(address, insecure, channelOptions);
  const close = (): void => [kv, watch, lease].forEach((client) => client.close());
  return { address, kv, watch, lease, close };
}
