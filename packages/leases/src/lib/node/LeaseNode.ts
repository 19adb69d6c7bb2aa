import type { NodeIdentity } from '@buckthornslip/common';

/**
 * A node process and its address.
 *
 * @public
 */
export interface LeaseNode extends NodeIdentity {
  /** "address:port" of the node's gRPC listener. */
  readonly controlAddress: string;
}
