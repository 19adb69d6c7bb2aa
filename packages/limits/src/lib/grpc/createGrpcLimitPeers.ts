import { failure, success } from '@buckthornslip/common';
import type { PeerChannels } from '@buckthornslip/wire';
import { authenticateDefinition, LimitsService } from '@buckthornslip/wire';

import type { LimitPeers } from '../messages/LimitPeers';
import { grantCodec } from './grantCodec';

/**
 * Creates a gRPC client of the token servers.
 *
 * @param fleetSecret - Secret that authenticates the messages.
 * @param channels - gRPC channels of this node.
 * @returns The client.
 * @public
 */
export function createGrpcLimitPeers(fleetSecret: string, channels: PeerChannels): LimitPeers {
  const { grantTokens } = authenticateDefinition(LimitsService, fleetSecret);
  return {
    grantTokens: async (address, request, timeoutMilliseconds) => {
      const message = grantCodec.encodeRequest(request);
      const result = await channels.call(address, grantTokens, message, timeoutMilliseconds);
      if (!result.ok) return failure({ kind: 'unreachable' });
      return success(grantCodec.decodeResponse(result.value));
    },
  };
}
