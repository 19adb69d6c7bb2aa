import type { Result } from '@buckthornslip/common';

import type { MembershipMethod, MembershipRequest, MembershipResponse } from './MembershipMethod';
import type { PeerError } from './PeerError';

/**
 * Client of the other nodes.
 *
 * @public
 */
export interface MembershipPeers {
  /**
   * Sends a request and waits for its response.
   *
   * @param address - Control address of the peer.
   * @param method - Name of the method.
   * @param request - Request.
   * @param timeoutMilliseconds - Maximum wait, in milliseconds.
   * @returns The response, or the reason why there is none.
   */
  readonly call: <Method extends MembershipMethod>(
    address: string,
    method: Method,
    request: MembershipRequest<Method>,
    timeoutMilliseconds: number,
  ) => Promise<Result<MembershipResponse<Method>, PeerError>>;
}
