import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';

/**
 * Grants tokens of the accounts in the limits partitions whose leases this node holds.
 *
 * @public
 */
export interface TokenServer {
  /** Handles a request synchronously, from memory. */
  readonly handle: (request: GrantRequest) => GrantResponse;
  /** Unsubscribes from the leases and stops synchronizing split records. */
  readonly stop: () => void;
}
