import type { Clock } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { ServiceError } from '@grpc/grpc-js';
import { Client, credentials, Metadata, status } from '@grpc/grpc-js';

import type { PeerCallError } from './PeerCallError';
import type { PeerChannels } from './PeerChannels';

/** Time after which an unused channel is closed, in milliseconds. */
const IDLE_CHANNEL_MILLISECONDS = 60_000;

/** Largest response, in bytes. A starting node fetches all parts of the configuration at once. */
const LARGEST_RESPONSE_BYTES = 64 * 2 ** 20;

const channelOptions = {
  'grpc.max_receive_message_length': LARGEST_RESPONSE_BYTES,
  // A restarted peer must be reached again within one probe period of the failure detection.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  // Closes a dead connection after about two seconds, even if the other end never closed it.
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  // Nodes call each other by IP address; several nodes in one test process must not share a connection.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
};

interface Channel {
  readonly client: Client;
  usedAtMilliseconds: number;
}

const errorsByStatus: ReadonlyMap<number, PeerCallError> = new Map([
  [status.DEADLINE_EXCEEDED, { kind: 'timeout' }],
  [status.UNAVAILABLE, { kind: 'unreachable' }],
]);

function toPeerCallError(error: ServiceError): PeerCallError {
  return errorsByStatus.get(error.code) ?? { kind: 'failed', detail: error.details };
}

/**
 * Creates the gRPC channels of a node to its peers.
 *
 * @param clock - Source of monotonic time.
 * @returns Channels that are opened on first use and closed after they have been idle.
 * @public
 */
export function createPeerChannels(clock: Clock): PeerChannels {
  const channels = new Map<string, Channel>();
  let sweptAtMilliseconds = clock.monotonicMilliseconds();

  const closeIdle = (nowMilliseconds: number): void => {
    if (nowMilliseconds - sweptAtMilliseconds < IDLE_CHANNEL_MILLISECONDS) return;
    sweptAtMilliseconds = nowMilliseconds;
    channels.forEach((channel, address) => {
      if (nowMilliseconds - channel.usedAtMilliseconds < IDLE_CHANNEL_MILLISECONDS) return;
      channel.client.close();
      channels.delete(address);
    });
  };

  const clientOf = (address: string): Client => {
    const nowMilliseconds = clock.monotonicMilliseconds();
    closeIdle(nowMilliseconds);
    const known = channels.get(address);
    if (known) {
      known.usedAtMilliseconds = nowMilliseconds;
      return known.client;
    }
    const client = new Client(address, credentials.createInsecure(), channelOptions);
    channels.set(address, { client, usedAtMilliseconds: nowMilliseconds });
    return client;
  };

  return {
    call: (address, method, request, timeoutMilliseconds) =>
      new Promise((resolve) => {
        clientOf(address).makeUnaryRequest(
          method.path,
          method.requestSerialize,
          method.responseDeserialize,
          request,
          new Metadata(),
          { deadline: Date.now() + timeoutMilliseconds },
          (error, response) => {
            if (error || response === undefined) {
              const peerError: PeerCallError = error
                ? toPeerCallError(error)
                : { kind: 'failed', detail: 'no response' };
              resolve(failure(peerError));
              return;
            }
            resolve(success(response));
          },
        );
      }),
    close: () => {
      channels.forEach(({ client }) => client.close());
      channels.clear();
    },
  };
}
