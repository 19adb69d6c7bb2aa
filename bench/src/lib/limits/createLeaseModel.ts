import { BehaviorSubject } from 'rxjs';
import { failure, success } from '@buckthornslip/common';
import type { Clock, HostId, Incarnation, PartitionId, RandomSource } from '@buckthornslip/common';
import type { HeldLease, LeaseLocation, LeaseManager } from '@buckthornslip/leases';

import type { SimulatedProcess } from './createProcess';

const MARGIN_SHARE = 0.1;
const TICK_MILLISECONDS = 50;

/** Part of the lease manager that account limits use. */
export type LimitLeases = Pick<
  LeaseManager,
  'heldLease' | 'heldLeaseChanges' | 'locate' | 'forgetLocation'
>;

/** Model of the leases of all partitions. It replaces the platform's store and the lease managers. */
export interface LeaseModel {
  readonly managerOf: (process: SimulatedProcess) => LimitLeases;
  /** Makes a process a candidate for the leases of its region. */
  readonly join: (process: SimulatedProcess) => void;
  /** Moves the lease from its holder to another process immediately. */
  readonly handOver: (partition: PartitionId) => void;
  /** @returns Name of the process that holds the lease, if any. */
  readonly holderOf: (partition: PartitionId) => string | undefined;
  readonly takeovers: () => number;
}

interface Lease {
  readonly partition: PartitionId;
  readonly region: string;
  readonly holder: SimulatedProcess | undefined;
  readonly epoch: number;
  readonly renewedMilliseconds: number;
}

/** Creates a model of the leases of partitions named `limits/<region>/<group>`. */
export function createLeaseModel(
  clock: Clock,
  random: RandomSource,
  partitions: readonly PartitionId[],
  termMilliseconds: number,
): LeaseModel {
  const now = clock.monotonicMilliseconds;
  const members: SimulatedProcess[] = [];
  const subjects = new Map<string, BehaviorSubject<HeldLease | undefined>>();
  let takeovers = 0;
  const leases = new Map<PartitionId, Lease>(
    partitions.map((partition) => [
      partition,
      {
        partition,
        region: partition.split('/')[1] ?? '',
        holder: undefined,
        epoch: 0,
        renewedMilliseconds: -Infinity,
      },
    ]),
  );

  const subjectOf = (
    process: SimulatedProcess,
    partition: PartitionId,
  ): BehaviorSubject<HeldLease | undefined> => {
    const key = `${process.name} ${partition}`;
    const subject = subjects.get(key) ?? new BehaviorSubject<HeldLease | undefined>(undefined);
    subjects.set(key, subject);
    return subject;
  };

  const heldLeaseOf = ({ partition, epoch }: Lease): HeldLease => {
    const ownTerm = termMilliseconds * (1 - MARGIN_SHARE);
    return {
      partition,
      epoch,
      candidates: [],
      startedWithoutState: false,
      takenAtWallMilliseconds: clock.wallMilliseconds(),
      remainingMilliseconds: () => {
        const lease = leases.get(partition);
        return lease?.epoch === epoch ? lease.renewedMilliseconds + ownTerm - now() : 0;
      },
    };
  };

  const assign = (lease: Lease, candidates: readonly SimulatedProcess[]): void => {
    const next = candidates[random.nextInteger(Math.max(1, candidates.length))];
    const earlier = lease.holder;
    if (earlier) earlier.deliver(() => subjectOf(earlier, lease.partition).next(undefined));
    const renewedMilliseconds = next ? now() : -Infinity;
    const assigned = { ...lease, holder: next, epoch: lease.epoch + 1, renewedMilliseconds };
    leases.set(lease.partition, assigned);
    if (!next) return;
    takeovers += 1;
    const heldLease = heldLeaseOf(assigned);
    next.deliver(() => subjectOf(next, lease.partition).next(heldLease));
  };

  const candidatesOf = (lease: Lease): readonly SimulatedProcess[] =>
    members.filter((member) => member.region === lease.region && member.isRunning());

  const tick = (lease: Lease): void => {
    const isLapsed = now() >= lease.renewedMilliseconds + termMilliseconds * (1 + MARGIN_SHARE);
    const heldLease = lease.holder && heldLeaseOf(lease);
    const canRenew = lease.holder?.isRunning() && (heldLease?.remainingMilliseconds() ?? 0) > 0;
    if (canRenew) leases.set(lease.partition, { ...lease, renewedMilliseconds: now() });
    else if (isLapsed) assign(lease, candidatesOf(lease));
  };

  const tickAll = (): void => {
    [...leases.values()].forEach(tick);
    clock.setTimer(TICK_MILLISECONDS, tickAll);
  };
  tickAll();

  const ownLease = (process: SimulatedProcess, partition: PartitionId): HeldLease | undefined => {
    const heldLease = subjectOf(process, partition).value;
    return heldLease && heldLease.remainingMilliseconds() > 0 ? heldLease : undefined;
  };

  const managerOf = (process: SimulatedProcess): LimitLeases => {
    const locations = new Map<PartitionId, LeaseLocation>();
    const locate = (partition: PartitionId): LeaseLocation | undefined => {
      const known = locations.get(partition);
      const lease = leases.get(partition);
      if (known || !lease?.holder) return known;
      const holder = { host: lease.holder.name as HostId, incarnation: 1 as Incarnation };
      const found = { holder, epoch: lease.epoch, controlAddress: lease.holder.name };
      locations.set(partition, found);
      return found;
    };
    return {
      heldLease: (partition) => ownLease(process, partition),
      heldLeaseChanges: (partition) => subjectOf(process, partition),
      locate: (partition) => {
        const found = locate(partition);
        return Promise.resolve(found ? success(found) : failure({ kind: 'no-holder' }));
      },
      forgetLocation: (partition) => {
        locations.delete(partition);
      },
    };
  };

  return {
    managerOf,
    join: (process) => members.push(process),
    handOver: (partition) => {
      const lease = leases.get(partition);
      if (!lease?.holder?.isRunning()) return;
      const others = candidatesOf(lease).filter((member) => member !== lease.holder);
      if (others.length > 0) assign(lease, others);
    },
    holderOf: (partition) => leases.get(partition)?.holder?.name,
    takeovers: () => takeovers,
  };
}
