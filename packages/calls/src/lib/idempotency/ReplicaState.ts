import type { BindingTable } from './BindingTable';
import type { ReplicaMessage } from './ReplicaMessage';

/**
 * Bindings of a partition on one node, as holder or as replica.
 *
 * @internal
 */
export interface ReplicaState {
  readonly table: () => BindingTable;

  /** @returns Whether the message belongs to the current transfer and was applied. */
  readonly accept: (message: ReplicaMessage) => boolean;

  /** Makes this node's state authoritative for an epoch, and rejects all messages of that epoch from now on. */
  readonly becomeHolder: (epoch: number) => void;

  /** Removes all bindings. */
  readonly clear: () => void;
}
