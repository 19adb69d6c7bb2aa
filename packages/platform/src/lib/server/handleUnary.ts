import { status, type handleUnaryCall, type ServiceError } from '@grpc/grpc-js';

import type { StoreCallCounts } from '../memory/StoreCallCounts';
import { serviceError } from './serviceError';
import type { StoreServerContext } from './StoreServerContext';

const writeKinds: ReadonlySet<keyof StoreCallCounts> = new Set([
  'compareAndSwap',
  'remove',
  'lease',
]);

/**
 * Creates a unary gRPC handler that runs a synchronous operation with fault injection.
 *
 * @param context - Clock, fault switches and call counts.
 * @param kindOf - Determines the kind under which a request is counted.
 * @param operation - Executes the request; throws a `ServiceError` to reject it.
 * @internal
 */
export function handleUnary<Request, Response>(
  context: StoreServerContext,
  kindOf: (request: Request) => keyof StoreCallCounts,
  operation: (request: Request) => Response,
): handleUnaryCall<Request, Response> {
  const { clock, faults, calls } = context;
  return (call, callback) => {
    const kind = kindOf(call.request);
    calls[kind] += 1;
    const run = (): void => {
      if (faults.isDown()) {
        callback(serviceError(status.UNAVAILABLE, 'the store is down'));
        return;
      }
      try {
        const response = operation(call.request);
        // A lost response is never sent, so that the client's call times out.
        if (!writeKinds.has(kind) || !faults.takeLostResponse()) callback(null, response);
      } catch (error) {
        callback(error as ServiceError);
      }
    };
    const delayMilliseconds = faults.slowMilliseconds();
    if (delayMilliseconds === 0) run();
    else clock.setTimer(delayMilliseconds, run);
  };
}
