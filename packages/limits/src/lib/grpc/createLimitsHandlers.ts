import { authenticateDefinition, LimitsService } from '@buckthornslip/wire';
import type { handleUnaryCall } from '@grpc/grpc-js';
import type { GrantTokensRequest, GrantTokensResponse } from '@buckthornslip/wire';

import type { TokenServer } from '../server/TokenServer';
import { grantCodec } from './grantCodec';

/**
 * Definition and handlers of the limits service, for the node's gRPC server.
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
 * @param holder - The node's share holder.
 * @param fleetSecret - Secret with which messages are authenticated.
 * @returns What `Server.addService` takes.
 * @public
 */
export function createLimitsHandlers(holder: TokenServer, fleetSecret: string): LimitsHandlers {
  return {
    definition: authenticateDefinition(LimitsService, fleetSecret),
    handlers: {
      grantTokens: (call, respond) => {
        const request = grantCodec.decodeRequest(call.request);
        respond(null, grantCodec.encodeResponse(holder.handle(request)));
      },
    },
  };
}
