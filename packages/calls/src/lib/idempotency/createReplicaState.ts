import type { Clock } from '@buckthornslip/common';

import type { BindingTable } from './BindingTable';
import { createBindingTable } from './createBindingTable';
import type { ReplicaMessage } from './ReplicaMessage';
import type { ReplicaState } from './ReplicaState';

/**
 * Creates the state of a partition on one node.
 *
 * A transfer is staged separately from the active state, because the node may have to take over before the transfer is
 * complete. It then still needs the complete earlier state.
 *
 * @param clock - Source of wall-clock time.
 * @returns An empty state.
 * @internal
 */
export function createReplicaState(clock: Clock): ReplicaState {
  let table = createBindingTable(clock);
  let staged: BindingTable | undefined;
  let epoch = 0;
  let transferId = -1;

  const begin = (message: ReplicaMessage): boolean => {
    const isLater =
      message.epoch > epoch || (message.epoch === epoch && message.transferId > transferId);
    if (!isLater) return false;
    epoch = message.epoch;
    transferId = message.transferId;
    staged = createBindingTable(clock);
    staged.widenUnknownRange(message.unknownRange);
    return true;
  };

  const add = (message: ReplicaMessage): boolean => {
    if (message.epoch !== epoch || message.transferId !== transferId) return false;
    const target = staged ?? table;
    target.widenUnknownRange(message.unknownRange);
    return message.bindings.every((binding) => target.store(binding));
  };

  const complete = (message: ReplicaMessage): boolean => {
    if (!add(message)) return false;
    if (staged) table = staged;
    staged = undefined;
    return true;
  };

  const handlers: Readonly<Record<ReplicaMessage['step'], (message: ReplicaMessage) => boolean>> = {
    begin,
    part: add,
    complete,
  };

  return {
    table: () => table,
    accept: (message) => handlers[message.step](message),
    becomeHolder: (newEpoch) => {
      staged = undefined;
      epoch = newEpoch;
      transferId = Number.MAX_SAFE_INTEGER;
    },
    clear: () => {
      table = createBindingTable(clock);
    },
  };
}
