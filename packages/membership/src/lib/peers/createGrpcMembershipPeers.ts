import type { PeerChannels } from '@buckthornslip/wire';
import { authenticateDefinition, membershipMessages } from '@buckthornslip/wire';
import type { MethodDefinition } from '@grpc/grpc-js';

import type { MembershipPeers } from './MembershipPeers';

/**
 * Creates the gRPC client of the other nodes.
 *
 * @param fleetSecret - Secret that authenticates each request.
 * @param channels - Channels of this node.
 * @returns The client.
 * @public
 */
export function createGrpcMembershipPeers(
  fleetSecret: string,
  channels: PeerChannels,
): MembershipPeers {
  const methods = authenticateDefinition(membershipMessages.MembershipPeerService, fleetSecret);
  return {
    call: (address, method, request, timeoutMilliseconds) => {
      // The type checker cannot relate the method's name to the types of its messages.
      const definition = methods[method] as unknown as MethodDefinition<typeof request, never>;
      return channels.call(address, definition, request, timeoutMilliseconds);
    },
  };
}
