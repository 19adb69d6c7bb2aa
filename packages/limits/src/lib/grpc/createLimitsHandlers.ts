import { authenticateDefinition, LimitsService } from '@buckthornslip/wire';
import type { handleUnaryCall } from '@grpc/grpc-js';
import type { GrantTokensRequest, GrantTokensResponse } from '@buckthornslip/wire';

import type { TokenServer } from '../server/TokenServer';
import { grantCodec } from './grantCodec';

/**
 * Service definition and handlers of the limits service, for the node's gRPC server.
 *
 * @public
 */
export interface LimitsHandlers {
  readonly definition: typeof LimitsService;
  readonly handlers: {
    readonly grantTokens: handleUnaryCall<GrantTokensRequest, GrantTokensResponse>;
  };
}

/**
 * Creates the gRPC handlers of the limits service.
 *
 * @param server - Token server of the node.
 * @param fleetSecret - Secret that authenticates the messages.
 * @returns The arguments of `Server.addService`.
 * @public
 */
export function createLimitsHandlers(server: TokenServer, fleetSecret: string): LimitsHandlers {
  return {
    definition: authenticateDefinition(LimitsService, fleetSecret),
    handlers: {
      grantTokens: (call, respond) => {
        const request = grantCodec.decodeRequest(call.request);
        respond(null, grantCodec.encodeResponse(server.handle(request)));
      },
    },
  };
}
