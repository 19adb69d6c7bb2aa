import type { FakeClock, HostId, Incarnation, PartitionId, ZoneId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { LeaseMember, LeaseNode, RunningLeaseManager } from '@buckthornslip/leases';
import { createLeaseManager, defaultLeaseTiming } from '@buckthornslip/leases';
import type { MemoryStore, Store } from '@buckthornslip/platform';
import { createMemoryStore } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { firstValueFrom, NEVER } from 'rxjs';

const HOSTS = 3;
const MESSAGE_DELAY_MILLISECONDS = 5;

/** Interval between checks for violations, in milliseconds. */
const CHECK_MILLISECONDS = 250;

/** Partition whose lease is simulated. */
export const PARTITION = 'home/orders' as PartitionId;

/** Simulated node process with a lease manager. */
export interface LeaseProcess {
  readonly member: LeaseMember;
  readonly manager: RunningLeaseManager;
  /** Monotonic time until which the process is paused, in milliseconds. */
  pausedUntil: number;
  isDisconnected: boolean;
  isCrashed: boolean;
}

/** Lease managers that share a store on a fake clock. */
export interface LeaseSimulation {
  readonly clock: FakeClock;
  readonly store: MemoryStore;
  readonly processes: readonly LeaseProcess[];
  /** Violations found so far: two holders at once, or an epoch that decreased. */
  readonly violations: readonly string[];
  readonly holder: () => LeaseProcess | undefined;
  /** Advances the clock and checks for violations periodically. */
  readonly run: (milliseconds: number) => Promise<void>;
  /** Makes all lease managers participate in the lease of the partition. */
  readonly participate: () => void;
  readonly close: () => void;
}

/**
 * @returns A simulation whose lease managers do not participate yet.
 */
export function createLeaseSimulation(): LeaseSimulation {
  const clock = createFakeClock();
  const store = createMemoryStore({ clock });
  const processes: LeaseProcess[] = [];
  const violations: string[] = [];
  let highestEpoch = 0;

  // A paused process neither sends nor receives. The clock keeps running, so a lease that it holds can expire
  // meanwhile.
  const simulateDelay = async (process: () => LeaseProcess | undefined): Promise<void> => {
    await clock.sleep(MESSAGE_DELAY_MILLISECONDS);
    const rest = (process()?.pausedUntil ?? 0) - clock.monotonicMilliseconds();
    if (rest > 0) await clock.sleep(rest);
    if (process()?.isCrashed ?? false) await firstValueFrom(NEVER);
  };

  const unavailable = { ok: false, error: { kind: 'unavailable' } } as const;
  const storeOf = (host: number): Pick<Store, 'get' | 'compareAndSwap'> => ({
    get: async (key) => {
      await simulateDelay(() => processes[host]);
      const result = processes[host]?.isDisconnected ? unavailable : await store.get(key);
      await simulateDelay(() => processes[host]);
      return result;
    },
    compareAndSwap: async (...parameters) => {
      await simulateDelay(() => processes[host]);
      const result = processes[host]?.isDisconnected
        ? unavailable
        : await store.compareAndSwap(...parameters);
      await simulateDelay(() => processes[host]);
      return result;
    },
  });

  const deliver = async <Value>(
    host: number,
    to: LeaseNode,
    answer: (manager: RunningLeaseManager) => Value,
  ): Promise<Value | undefined> => {
    await simulateDelay(() => processes[host]);
    const target = processes.find(({ member }) => member.host === to.host);
    if (
      target === undefined ||
      target.isCrashed ||
      target.isDisconnected ||
      processes[host]?.isDisconnected
    ) {
      return undefined;
    }
    await simulateDelay(() => target);
    const value = answer(target.manager);
    await simulateDelay(() => processes[host]);
    return value;
  };

  const start = (host: number): void => {
    const member: LeaseMember = {
      host: `host-${host}` as HostId,
      incarnation: 1 as Incarnation,
      zone: `zone-${host}` as ZoneId,
      controlAddress: `host-${host}:1`,
    };
    const manager = createLeaseManager({
      self: member,
      store: storeOf(host),
      clock,
      logger: createSilentLogger(),
      peers: {
        requestExtension: (to, request) =>
          deliver(host, to, (target) => target.answerExtension(request)),
        locate: (to, partition) => deliver(host, to, (target) => target.answerLocate(partition)),
        refresh: async (to, partition) => deliver(host, to, (target) => target.refresh(partition)),
      },
      eligibleMembers: () =>
        processes.filter(({ isCrashed }) => !isCrashed).map((process) => process.member),
      timing: defaultLeaseTiming,
    });
    processes.push({ member, manager, pausedUntil: 0, isDisconnected: false, isCrashed: false });
  };
  for (let host = 0; host < HOSTS; host += 1) start(host);

  const holders = (): readonly LeaseProcess[] =>
    processes.filter(({ isCrashed, manager }) => {
      const lease = manager.heldLease(PARTITION);
      return !isCrashed && lease !== undefined && lease.remainingMilliseconds() > 0;
    });
  const check = (): void => {
    const current = holders();
    if (current.length > 1) violations.push(`${current.length} holders at once`);
    for (const { manager } of current) {
      const epoch = manager.heldLease(PARTITION)?.epoch ?? 0;
      if (epoch < highestEpoch) violations.push(`epoch ${epoch} after ${highestEpoch}`);
      highestEpoch = Math.max(highestEpoch, epoch);
    }
  };
  return {
    clock,
    store,
    processes,
    violations,
    holder: () => holders()[0],
    run: async (milliseconds) => {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += CHECK_MILLISECONDS) {
        await clock.advance(CHECK_MILLISECONDS);
        check();
      }
    },
    participate: () => processes.forEach(({ manager }) => manager.participate(PARTITION)),
    close: () => {
      processes.forEach(({ manager }) => manager.close());
      store.close();
    },
  };
}
