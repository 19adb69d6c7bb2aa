import type { NodeIdentity, PartitionId } from '@buckthornslip/common';

/**
 * A holder's request to a candidate to extend the lease: not to take over for another term. It is used while
 * the store does not answer.
 *
 * @public
 */
export interface ExtensionRequest {
  readonly partition: PartitionId;
  readonly epoch: number;
  readonly holder: NodeIdentity;
  /** The candidate that is asked; another incarnation of its host can't grant the extension. */
  readonly candidate: NodeIdentity;
  /** Duration of the extension from the receipt of this request, without margin. */
  readonly termMilliseconds: number;
}
