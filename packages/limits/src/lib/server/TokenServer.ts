import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';

/**
 * Grants tokens for the limits partitions whose leases this node holds.
 *
 * @public
 */
export interface TokenServer {
  /** Responds to a request at once, from memory. */
  readonly handle: (request: GrantRequest) => GrantResponse;
  /** Stops to follow leases and split records. */
  readonly stop: () => void;
}
