import type { NodeIdentity } from '@buckthornslip/common';

/**
 * The holder of a partition's lease, as far as this node knows.
 *
 * @public
 */
export interface LeaseLocation {
  readonly holder: NodeIdentity;
  readonly epoch: number;
  /** "address:port" of the holder's gRPC listener. */
  readonly controlAddress: string;
}
