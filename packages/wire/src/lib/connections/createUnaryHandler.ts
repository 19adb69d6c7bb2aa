import type { handleUnaryCall } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';

/**
 * Creates a handler of a unary gRPC method from a function.
 *
 * @param handle - Handles a request. If it rejects, the call fails with the status INTERNAL.
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
