import type { handleUnaryCall } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';

/**
 * Turns a function into a handler of a unary gRPC method.
 *
 * @param handle - Answers one message. A rejection is answered with the status INTERNAL.
 * @returns The handler for `addService` of a gRPC server.
 * @public
 */
export function createUnaryHandler<Request, Response>(
  handle: (request: Request) => Response | Promise<Response>,
): handleUnaryCall<Request, Response> {
  return (call, callback) => {
    Promise.resolve(call.request)
      .then(handle)
      .then(
        (response) => callback(null, response),
        (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
      );
  };
}
