import { authenticateDefinition, membershipMessages } from '@buckthornslip/wire';
import type {
  handleUnaryCall,
  ServiceDefinition,
  UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';

import type { MembershipHandler } from './MembershipHandler';

type AnyHandler = (request: unknown) => unknown;

function toUnaryHandler(handle: AnyHandler): handleUnaryCall<unknown, unknown> {
  return (call, callback) => {
    Promise.resolve()
      .then(() => handle(call.request))
      .then(
        (response) => callback(null, response),
        (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
      );
  };
}

/**
 * Adapts the handler of a node to `addService` of a gRPC server.
 *
 * @param options - Fleet secret and handler of the node.
 * @returns Definition and implementation of the service.
 * @public
 */
export function createMembershipImplementation(options: {
  readonly fleetSecret: string;
  readonly handler: MembershipHandler;
}): {
  readonly definition: ServiceDefinition;
  readonly implementation: UntypedServiceImplementation;
} {
  const { MembershipPeerService } = membershipMessages;
  const handlers = Object.entries(options.handler).map(
    ([method, handle]) => [method, toUnaryHandler(handle as AnyHandler)] as const,
  );
  return {
    definition: authenticateDefinition(MembershipPeerService, options.fleetSecret),
    implementation: Object.fromEntries(handlers),
  };
}
