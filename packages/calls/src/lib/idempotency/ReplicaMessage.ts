import type { PartitionId } from '@buckthornslip/common';

import type { Binding } from './Binding';
import type { UnknownRange } from './UnknownRange';

/**
 * A message that copies bindings from the holder to a replica.
 *
 * @public
 */
export interface ReplicaMessage {
  readonly partition: PartitionId;
  readonly epoch: number;
  /** Identifies one complete transfer to one replica. Later messages to the replica have the same id. */
  readonly transferId: number;
  /** "begin" starts an empty staged state, "part" adds bindings, "complete" activates the staged state. */
  readonly step: 'begin' | 'part' | 'complete';
  readonly bindings: readonly Binding[];
  readonly unknownRange: UnknownRange;
}
