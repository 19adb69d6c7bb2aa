import { status, type ServiceError } from '@grpc/grpc-js';

import type { StoreError } from '../store/StoreError';

/** Status codes of requests that the server rejected without executing them. */
const rejectedCodes: ReadonlySet<status> = new Set([
  status.INVALID_ARGUMENT,
  status.FAILED_PRECONDITION,
  status.OUT_OF_RANGE,
  status.UNIMPLEMENTED,
  status.PERMISSION_DENIED,
  status.UNAUTHENTICATED,
]);

const timeoutCodes: ReadonlySet<status> = new Set([status.CANCELLED, status.DEADLINE_EXCEEDED]);

/**
 * Converts a gRPC error. Codes after which a write may have taken effect become `unavailable` or `timeout`.
 *
 * @internal
 */
export function toStoreError(error: ServiceError): StoreError {
  if (timeoutCodes.has(error.code)) return { kind: 'timeout' };
  if (error.code === status.NOT_FOUND) return { kind: 'lease-not-found' };
  if (rejectedCodes.has(error.code)) return { kind: 'rejected', message: error.details };
  return { kind: 'unavailable' };
}
