import { Metadata, type ServiceError, type status } from '@grpc/grpc-js';

/**
 * @param code - gRPC status code.
 * @param details - Message for the client.
 * @returns The error that a handler passes to grpc-js.
 * @internal
 */
export function serviceError(code: status, details: string): ServiceError {
  return Object.assign(new Error(details), { code, details, metadata: new Metadata() });
}
