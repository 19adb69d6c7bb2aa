import { createCallControlClient } from '@buckthornslip/calls';
import type { Clock } from '@buckthornslip/common';
import { createGrpcConfigurationPeers } from '@buckthornslip/distribution';
import { createLeasePeersClient } from '@buckthornslip/leases';
import { createGrpcLimitPeers } from '@buckthornslip/limits';
import { createGrpcMembershipPeers } from '@buckthornslip/membership';
import { createPeerChannels } from '@buckthornslip/wire';

import type { PeerClients } from './PeerClients';

/** Timeout of a lease request to another node, in milliseconds. */
const LEASE_MESSAGE_TIMEOUT_MILLISECONDS = 500;

/**
 * Creates the gRPC clients of a node. They share one channel per peer.
 *
 * @param clock - Source of time.
 * @param fleetSecret - Secret shared by the nodes.
 * @returns The clients; a channel opens on first use.
 * @internal
 */
export function createPeerClients(clock: Clock, fleetSecret: string): PeerClients {
  const channels = createPeerChannels(clock);
  const timeoutMilliseconds = LEASE_MESSAGE_TIMEOUT_MILLISECONDS;
  return {
    calls: createCallControlClient(channels, fleetSecret),
    configuration: createGrpcConfigurationPeers(fleetSecret, channels),
    leases: createLeasePeersClient({ fleetSecret, channels, timeoutMilliseconds }),
    limits: createGrpcLimitPeers(fleetSecret, channels),
    membership: createGrpcMembershipPeers(fleetSecret, channels),
    close: channels.close,
  };
}
