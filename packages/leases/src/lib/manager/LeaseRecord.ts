import type { PartitionId } from '@buckthornslip/common';

import type { LeaseNode } from '../node/LeaseNode';

/**
 * The record of one partition's lease in the store.
 *
 * @public
 */
export interface LeaseRecord {
  readonly partition: PartitionId;
  /** Fencing token: increases by one with each new holder. */
  readonly epoch: number;
  /**
   * Increases with each write that the holder attempts, so that the holder can tell which of its writes
   * the store applied and when it sent that write.
   */
  readonly renewal: number;
  readonly holder: LeaseNode;
  /** The only other nodes that may take over while the record is being renewed. */
  readonly candidates: readonly LeaseNode[];
  readonly termMilliseconds: number;
  readonly handedOver: boolean;
}
