import type { PartitionId } from '@buckthornslip/common';
import type { MemoryStore } from '@buckthornslip/platform';

import type { HeldLease } from '../manager/HeldLease';
import type { RunningLeaseManager } from '../manager/RunningLeaseManager';
import { decodeLeaseRecord } from '../record/decodeLeaseRecord';
import type { SimulatedNode } from './LeaseSimulation';

/** Checks that at most one node holds the partition and that epochs only increase. */
export interface InvariantChecker {
  readonly violations: readonly string[];
  readonly epochs: readonly number[];
  readonly check: () => void;
  readonly holder: () => number | undefined;
  readonly follow: (host: number, manager: RunningLeaseManager) => void;
}

/**
 * Checks the invariants of leases across the nodes of a simulation. A paused node counts as the holder for
 * as long as its own clock says so.
 *
 * @internal
 */
export function createInvariantChecker(
  store: MemoryStore,
  nodes: ReadonlyMap<number, SimulatedNode>,
  partition: PartitionId,
): InvariantChecker {
  const violations: string[] = [];
  const epochs: number[] = [];
  const holderOfEpoch = new Map<number, RunningLeaseManager>();
  let recordEpoch = 0;

  const holders = (): number[] =>
    [...nodes].filter(([, { manager }]) => manager.heldLease(partition)).map(([host]) => host);

  const check = (): void => {
    const hosts = holders();
    if (hosts.length > 1) violations.push(`hosts ${hosts.join(' and ')} hold the lease at once`);
  };

  const recordHeldLease = (manager: RunningLeaseManager, heldLease: HeldLease): void => {
    const last = epochs[epochs.length - 1] ?? 0;
    if (heldLease.epoch < last)
      violations.push(`a lease of epoch ${heldLease.epoch} follows epoch ${last}`);
    if (heldLease.epoch > last) epochs.push(heldLease.epoch);
    const first = holderOfEpoch.get(heldLease.epoch) ?? manager;
    if (first !== manager) violations.push(`two nodes held epoch ${heldLease.epoch}`);
    holderOfEpoch.set(heldLease.epoch, first);
  };

  store.watch('leases/', 1).subscribe((event) => {
    const record = event.kind === 'put' ? decodeLeaseRecord(event.entry.value) : undefined;
    if (!record) return;
    if (record.epoch < recordEpoch) violations.push(`epoch ${record.epoch} after ${recordEpoch}`);
    recordEpoch = record.epoch;
  });

  const follow = (host: number, manager: RunningLeaseManager): void => {
    manager.heldLeaseChanges(partition).subscribe((heldLease) => {
      if (nodes.get(host)?.manager !== manager) return;
      if (heldLease) recordHeldLease(manager, heldLease);
      check();
    });
  };

  return { violations, epochs, check, holder: () => holders()[0], follow };
}
