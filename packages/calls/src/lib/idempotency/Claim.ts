import type { AttemptId, NodeIdentity } from '@buckthornslip/common';

/**
 * A granted claim of an idempotency key. Only the bound node process may run the request.
 *
 * @public
 */
export interface Claim {
  readonly attemptId: AttemptId;
  readonly servingNode: NodeIdentity;
  /** Whether the key was bound before this request. */
  readonly existing: boolean;
}
