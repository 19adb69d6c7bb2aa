import type { NodeIdentity, PartitionId } from '@buckthornslip/common';

/**
 * A holder's request not to take over a partition for a term.
 *
 * @public
 */
export interface ExtensionRequest {
  readonly partition: PartitionId;
  readonly epoch: number;
  readonly holder: NodeIdentity;
  /** The candidate that is asked; nobody else can promise for it. */
  readonly candidate: NodeIdentity;
  /** Length of the promise from its receipt, without margin. */
  readonly termMilliseconds: number;
}
