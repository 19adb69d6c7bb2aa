import type { NodeIdentity } from '@buckthornslip/common';

/**
 * A node process that keeps a copy of a home's bindings.
 *
 * @public
 */
export interface IdempotencyReplica extends NodeIdentity {
  /** "address:port" of its gRPC listener. */
  readonly controlAddress: string;
}
