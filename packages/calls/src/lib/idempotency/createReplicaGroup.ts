import type { PartitionId } from '@buckthornslip/common';

import type { Binding } from './Binding';
import type { BindingTable } from './BindingTable';
import type { IdempotencyPeers } from './IdempotencyPeers';
import type { IdempotencyReplica } from './IdempotencyReplica';
import type { ReplicaGroup } from './ReplicaGroup';
import type { ReplicaMessage } from './ReplicaMessage';

/** Bindings in one message of a transfer. */
const BINDINGS_PER_MESSAGE = 1_000;

interface Transfer {
  readonly replica: IdempotencyReplica;
  readonly transferId: number;
  /** Set once the replica has accepted "begin". From then on it must receive each new binding. */
  begun: boolean;
  /** Set once the replica has all bindings. From then on the lease may list it as a candidate. */
  complete: boolean;
  done: Promise<boolean>;
}

function chunksOf(bindings: readonly Binding[]): Binding[][] {
  const count = Math.ceil(bindings.length / BINDINGS_PER_MESSAGE);
  return Array.from({ length: count }, (_, index) =>
    bindings.slice(index * BINDINGS_PER_MESSAGE, (index + 1) * BINDINGS_PER_MESSAGE),
  );
}

/**
 * Creates the replica group of one epoch.
 *
 * @param options - Partition, epoch, the holder's bindings and the client of the replicas.
 * @returns A group without any replica that is up to date.
 * @internal
 */
export function createReplicaGroup(options: {
  readonly partition: PartitionId;
  readonly epoch: number;
  readonly table: BindingTable;
  readonly peers: IdempotencyPeers;
}): ReplicaGroup {
  const { partition, epoch, table, peers } = options;
  const transfers = new Map<string, Transfer>();
  // Replicas that were reported as prepared. The lease may list them even if the response to that write was lost.
  const possiblyListed = new Map<string, IdempotencyReplica>();
  let lastTransferId = 0;

  const keyOf = (replica: IdempotencyReplica): string => `${replica.host}/${replica.incarnation}`;

  const isCurrent = (transfer: Transfer): boolean =>
    transfers.get(keyOf(transfer.replica)) === transfer;

  const send = async (
    transfer: Transfer,
    step: ReplicaMessage['step'],
    bindings: readonly Binding[],
  ): Promise<boolean> => {
    const { replica, transferId } = transfer;
    const unknownRange = table.unknownRange();
    const message = { partition, epoch, transferId, step, bindings, unknownRange };
    return (await peers.replicate(replica, message)) === true;
  };

  const run = async (transfer: Transfer): Promise<boolean> => {
    if (!(await send(transfer, 'begin', []))) return false;
    // From here on, copy() sends each new binding, and the table contains all earlier ones.
    Object.assign(transfer, { begun: true });
    for (const chunk of chunksOf(table.all())) {
      if (!(await send(transfer, 'part', chunk))) return false;
    }
    const isComplete = (await send(transfer, 'complete', [])) && isCurrent(transfer);
    Object.assign(transfer, { complete: isComplete });
    if (isComplete) possiblyListed.set(keyOf(transfer.replica), transfer.replica);
    return isComplete;
  };

  const start = (replica: IdempotencyReplica): Transfer => {
    lastTransferId += 1;
    const transfer: Transfer = {
      replica,
      transferId: lastTransferId,
      begun: false,
      complete: false,
      done: Promise.resolve(false),
    };
    transfers.set(keyOf(replica), transfer);
    transfer.done = run(transfer);
    return transfer;
  };

  const abandon = (transfer: Transfer): void => {
    if (isCurrent(transfer)) transfers.delete(keyOf(transfer.replica));
  };

  const synchronize = async (replica: IdempotencyReplica): Promise<boolean> => {
    const transfer = transfers.get(keyOf(replica)) ?? start(replica);
    const isDone = await transfer.done;
    // A failed transfer is dropped, so that the next call starts a new one.
    if (!isDone) abandon(transfer);
    return isDone;
  };

  const copyToCandidate = async (
    binding: Binding,
    candidate: IdempotencyReplica,
  ): Promise<boolean> => {
    if (!(await synchronize(candidate))) return false;
    const transfer = transfers.get(keyOf(candidate));
    if (!transfer) return false;
    const isCopied = await send(transfer, 'part', [binding]);
    // The replica may lack this binding, so it needs a complete transfer before it is up to date again.
    if (!isCopied) abandon(transfer);
    return isCopied;
  };

  const copyToPreparing = async (binding: Binding, transfer: Transfer): Promise<boolean> => {
    const isCopied = await send(transfer, 'part', [binding]);
    if (isCopied) return true;
    abandon(transfer);
    // A replica whose transfer is complete may already be listed, so it has to be removed like a candidate.
    return !transfer.complete;
  };

  return {
    synchronize,
    copy: async (binding, candidates) => {
      const required = new Map(candidates.map((candidate) => [keyOf(candidate), candidate]));
      for (const [key, replica] of possiblyListed) required.set(key, replica);
      const preparing = [...transfers.values()].filter(
        (transfer) => transfer.begun && !required.has(keyOf(transfer.replica)),
      );
      const replicas = [...required.values(), ...preparing.map((transfer) => transfer.replica)];
      const copies = [
        ...[...required.values()].map((replica) => copyToCandidate(binding, replica)),
        ...preparing.map((transfer) => copyToPreparing(binding, transfer)),
      ];
      const results = await Promise.all(copies);
      return replicas.filter((_, index) => !results[index]);
    },
    remove: (replica) => {
      possiblyListed.delete(keyOf(replica));
      transfers.delete(keyOf(replica));
    },
  };
}
