import { failure, success, type Clock, type Result } from '@buckthornslip/common';
import type { ServiceError } from '@grpc/grpc-js';

import type { StoreError } from '../store/StoreError';
import { toStoreError } from './toStoreError';

/**
 * Runs a unary gRPC call with a timeout.
 *
 * @param clock - Clock for the timeout.
 * @param timeoutMilliseconds - Longest wait for the response, in milliseconds.
 * @param start - Starts the call.
 * @internal
 */
export function callUnary<Response>(
  clock: Clock,
  timeoutMilliseconds: number,
  start: (callback: (error: ServiceError | null, response: Response) => void) => {
    readonly cancel: () => void;
  },
): Promise<Result<Response, StoreError>> {
  return new Promise((resolve) => {
    let cancelTimer = (): void => undefined;
    const call = start((error, response) => {
      cancelTimer();
      resolve(error ? failure(toStoreError(error)) : success(response));
    });
    cancelTimer = clock.setTimer(timeoutMilliseconds, () => call.cancel());
  });
}
