import type { Result } from '@buckthornslip/common';
import type { MethodDefinition } from '@grpc/grpc-js';

import type { PeerCallError } from './PeerCallError';

/**
 * gRPC channels to other nodes. All services share one channel per address.
 *
 * @public
 */
export interface PeerChannels {
  /**
   * Calls a method without retries.
   *
   * @param address - "address:port" of the other node's gRPC listener.
   * @param method - Method of an authenticated service definition.
   * @param request - Request message.
   * @param timeoutMilliseconds - Longest wait for the response, in milliseconds.
   */
  readonly call: <Request, Response>(
    address: string,
    method: MethodDefinition<Request, Response>,
    request: Request,
    timeoutMilliseconds: number,
  ) => Promise<Result<Response, PeerCallError>>;

  /** Closes all channels. */
  readonly close: () => void;
}
