import type { AttemptId, NodeIdentity, ServiceId } from '@buckthornslip/common';

/**
 * A request to bind an idempotency key to an attempt at one serving node process.
 *
 * @public
 */
export interface ClaimRequest {
  readonly service: ServiceId;
  /** Account and idempotency key in one string. */
  readonly scopedKey: string;
  /** Digest of method, target and body. */
  readonly requestDigest: string;
  readonly attemptId: AttemptId;
  readonly servingNode: NodeIdentity;
}
