import type { NodeIdentity } from '@buckthornslip/common';

/**
 * A node process that has a copy of the bindings of an idempotency registry.
 *
 * @public
 */
export interface IdempotencyReplica extends NodeIdentity {
  /** "address:port" of its gRPC listener. */
  readonly controlAddress: string;
}
