import type { Result } from '@buckthornslip/common';

import type { GrantRequest } from './GrantRequest';
import type { GrantResponse } from './GrantResponse';

/**
 * Client of the token servers on other nodes.
 *
 * @public
 */
export interface LimitPeers {
  /**
   * @param controlAddress - "address:port" of the token server's gRPC listener.
   * @param request - The request.
   * @param timeoutMilliseconds - Response timeout in milliseconds.
   * @returns The response. After "unreachable" the request may or may not have been processed.
   */
  readonly grantTokens: (
    controlAddress: string,
    request: GrantRequest,
    timeoutMilliseconds: number,
  ) => Promise<Result<GrantResponse, { readonly kind: 'unreachable' }>>;
}
