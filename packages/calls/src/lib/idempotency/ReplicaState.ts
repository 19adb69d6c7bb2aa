import type { BindingTable } from './BindingTable';
import type { ReplicaMessage } from './ReplicaMessage';

/**
 * Bindings of a partition on one node, as home or as replica.
 *
 * @internal
 */
export interface ReplicaState {
  readonly table: () => BindingTable;

  /** @returns Whether the message belongs to the current transfer and was taken in. */
  readonly accept: (message: ReplicaMessage) => boolean;

  /** Makes this node's state the one in force for an epoch; messages of that epoch are rejected from now on. */
  readonly becomeHolder: (epoch: number) => void;

  /** Forgets all bindings. */
  readonly clear: () => void;
}
