import { createSystemClock, failure } from '@buckthornslip/common';
import { createGrpcConfigurationPeers } from '@buckthornslip/distribution';
import { authenticateDefinition, createPeerChannels, StatusService } from '@buckthornslip/wire';

import type { NodeClients } from './NodeClients';

/** Timeout of a status request to one node, in milliseconds. */
const STATUS_TIMEOUT_MILLISECONDS = 1_000;

/**
 * @param fleetSecret - Secret that authenticates each request.
 * @returns A client of the nodes.
 * @internal
 */
export function createNodeClients(fleetSecret: string): NodeClients {
  const channels = createPeerChannels(createSystemClock());
  const methods = authenticateDefinition(StatusService, fleetSecret);
  const peers = createGrpcConfigurationPeers(fleetSecret, channels);
  return {
    readStatus: async (address) => {
      const timeout = STATUS_TIMEOUT_MILLISECONDS;
      const result = await channels.call(address, methods.readStatus, {}, timeout);
      return result.ok ? result : failure({ kind: 'peer-failed', reason: result.error.kind });
    },
    installRevision: peers.installRevision,
    close: channels.close,
  };
}
