import type { PartitionId } from '@buckthornslip/common';
import type { MemoryStore } from '@buckthornslip/platform';

import type { HeldLease } from '../manager/HeldLease';
import type { RunningLeaseManager } from '../manager/RunningLeaseManager';
import { decodeLeaseRecord } from '../record/decodeLeaseRecord';
import type { SimulatedNode } from './LeaseSimulation';

/** Checks that at most one node holds the partition and that epochs only grow. */
export interface RulesWatch {
  readonly violations: readonly string[];
  readonly epochs: readonly number[];
  readonly check: () => void;
  readonly holder: () => number | undefined;
  readonly follow: (host: number, manager: RunningLeaseManager) => void;
}

/**
 * Watches the rules of leases over the nodes of a simulation. A paused node counts as holder for as long as
 * its own clock says so.
 *
 * @internal
 */
export function watchRules(
  store: MemoryStore,
  nodes: ReadonlyMap<number, SimulatedNode>,
  partition: PartitionId,
): RulesWatch {
  const violations: string[] = [];
  const epochs: number[] = [];
  const holderOfEpoch = new Map<number, RunningLeaseManager>();
  let recordEpoch = 0;

  const holders = (): number[] =>
    [...nodes].filter(([, { manager }]) => manager.heldLease(partition)).map(([host]) => host);

  const check = (): void => {
    const present = holders();
    if (present.length > 1) violations.push(`hosts ${present.join(' and ')} hold at once`);
  };

  const noteHold = (manager: RunningLeaseManager, hold: HeldLease): void => {
    const last = epochs[epochs.length - 1] ?? 0;
    if (hold.epoch < last) violations.push(`a hold of epoch ${hold.epoch} follows epoch ${last}`);
    if (hold.epoch > last) epochs.push(hold.epoch);
    const first = holderOfEpoch.get(hold.epoch) ?? manager;
    if (first !== manager) violations.push(`two nodes held epoch ${hold.epoch}`);
    holderOfEpoch.set(hold.epoch, first);
  };

  store.watch('leases/', 1).subscribe((event) => {
    const record = event.kind === 'put' ? decodeLeaseRecord(event.entry.value) : undefined;
    if (!record) return;
    if (record.epoch < recordEpoch) violations.push(`epoch ${record.epoch} after ${recordEpoch}`);
    recordEpoch = record.epoch;
  });

  const follow = (host: number, manager: RunningLeaseManager): void => {
    manager.heldLeaseChanges(partition).subscribe((hold) => {
      if (nodes.get(host)?.manager !== manager) return;
      if (hold) noteHold(manager, hold);
      check();
    });
  };

  return { violations, epochs, check, holder: () => holders()[0], follow };
}
