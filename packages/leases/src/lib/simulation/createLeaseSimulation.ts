import type {
  FakeClock,
  HostId,
  Incarnation,
  PartitionId,
  RandomSource,
  ZoneId,
} from '@buckthornslip/common';
import { createMemoryStore, type Store } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { firstValueFrom, NEVER } from 'rxjs';

import { createLeaseManager } from '../manager/createLeaseManager';
import type { LeaseManagerOptions } from '../manager/LeaseManagerOptions';
import type { LeaseMember } from '../node/LeaseMember';
import type { LeaseNode } from '../node/LeaseNode';
import type { LeasePeers } from '../peers/LeasePeers';
import type { LeaseTiming } from '../timing/LeaseTiming';
import { createGate, type Gate } from './createGate';
import { createProcessClock } from './createProcessClock';
import type { LeaseSimulation, SimulatedNode } from './LeaseSimulation';
import { watchRules } from './watchRules';

const PARTITION = 'home/orders' as PartitionId;

/** Options of a simulation. */
export interface LeaseSimulationOptions {
  readonly clock: FakeClock;
  readonly random: RandomSource;
  readonly timing: LeaseTiming;
  /** Zone and clock rate of each host. */
  readonly hosts: readonly { readonly zone: string; readonly rate: number }[];
  /** Longest usual time of a message on its way, in milliseconds. */
  readonly travelMilliseconds?: number;
  /** Probability that a message is late by up to 4 s. */
  readonly lateProbability?: number;
  readonly prepareCandidate?: LeaseManagerOptions['prepareCandidate'];
  /** Lets a test replace the peers by faulty ones. */
  readonly changePeers?: (peers: LeasePeers) => LeasePeers;
}

/**
 * Creates a simulation in which all hosts are started.
 *
 * @internal
 */
export function createLeaseSimulation(options: LeaseSimulationOptions): LeaseSimulation {
  const { clock, random, timing, hosts, prepareCandidate } = options;
  const { travelMilliseconds = 10, lateProbability = 0 } = options;
  const changePeers = options.changePeers ?? ((peers) => peers);
  const store = createMemoryStore({ clock });
  const nodes = new Map<number, SimulatedNode>();
  const suspected = new Set<number>();
  const cutOff = new Set<number>();
  const pausing = new Map<number, number>();
  const rules = watchRules(store, nodes, PARTITION);
  let lossProbability = 0;
  let nextIncarnation = 1;

  const travel = async (): Promise<void> => {
    const isLate = random.next() < lateProbability;
    await clock.sleep(1 + random.nextInteger(isLate ? 4_000 : travelMilliseconds));
  };

  const roundTrip = async <Value>(
    host: number,
    gate: Gate,
    effect: () => Promise<Value>,
  ): Promise<Value> => {
    const pauseMilliseconds = pausing.get(host);
    if (pauseMilliseconds !== undefined) {
      pausing.delete(host);
      gate.close();
      clock.setTimer(pauseMilliseconds, gate.open);
    }
    await travel();
    const value = await effect();
    await travel();
    await gate.whenOpen();
    return value;
  };

  // A lost message is waited for without end; its sender has a time-out.
  const loseIf = async (isLost: boolean): Promise<void> => {
    if (isLost) await firstValueFrom(NEVER);
  };

  const lose = (): Promise<void> => loseIf(random.next() < lossProbability);

  const callStore = <Value>(host: number, gate: Gate, call: () => Promise<Value>): Promise<Value> =>
    roundTrip(host, gate, async () => {
      await loseIf(cutOff.has(host));
      const value = await call();
      await travel();
      await loseIf(cutOff.has(host));
      return value;
    });

  const createRemoteStore = (host: number, gate: Gate): Pick<Store, 'get' | 'compareAndSwap'> => ({
    get: (key) => callStore(host, gate, () => store.get(key)),
    compareAndSwap: (...parameters) =>
      callStore(host, gate, () => store.compareAndSwap(...parameters)),
  });

  const deliver = async <Value>(
    host: number,
    gate: Gate,
    to: LeaseNode,
    answer: (manager: SimulatedNode['manager']) => Value,
  ): Promise<Value | undefined> =>
    roundTrip(host, gate, async () => {
      await lose();
      const target = [...nodes.values()].find(({ member }) => member.host === to.host);
      if (!target) return undefined;
      await target.gate.whenOpen();
      const value = answer(target.manager);
      await lose();
      return value;
    });

  const createPeers = (host: number, gate: Gate): LeasePeers => ({
    requestExtension: (to, request) =>
      deliver(host, gate, to, (manager) => manager.answerExtension(request)),
    locate: (to, partition) =>
      deliver(host, gate, to, (manager) => manager.answerLocate(partition)),
    refresh: (to, partition) => deliver(host, gate, to, (manager) => manager.refresh(partition)),
  });

  const eligibleMembers = (): readonly LeaseMember[] =>
    [...nodes].filter(([host]) => !suspected.has(host)).map(([, { member }]) => member);

  const crash = (host: number): void => {
    nodes.get(host)?.gate.close();
    nodes.delete(host);
  };

  const start = (host: number): void => {
    crash(host);
    const { zone = '', rate = 1 } = hosts[host] ?? {};
    const member: LeaseMember = {
      host: `host-${host}` as HostId,
      incarnation: nextIncarnation as Incarnation,
      zone: zone as ZoneId,
      controlAddress: `host-${host}:1`,
    };
    nextIncarnation += 1;
    const gate = createGate();
    const manager = createLeaseManager({
      self: member,
      store: createRemoteStore(host, gate),
      clock: createProcessClock(clock, rate, gate, random),
      logger: createSilentLogger(),
      peers: changePeers(createPeers(host, gate)),
      eligibleMembers,
      timing,
      prepareCandidate,
    });
    nodes.set(host, { member, gate, manager });
    rules.follow(host, manager);
    manager.participate(PARTITION);
  };

  const run: LeaseSimulation['run'] = async (milliseconds, stepMilliseconds = 250) => {
    let withoutHolder = 0;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
      await clock.advance(Math.min(stepMilliseconds, milliseconds - elapsed));
      rules.check();
      if (rules.holder() === undefined) withoutHolder += stepMilliseconds;
    }
    return withoutHolder;
  };

  hosts.forEach((_, host) => start(host));
  return {
    partition: PARTITION,
    store,
    violations: rules.violations,
    epochs: rules.epochs,
    start,
    crash,
    node: (host) => nodes.get(host),
    holder: rules.holder,
    pauseAtNextRequest: (host, milliseconds) => {
      pausing.set(host, milliseconds);
    },
    setCutOff: (host, isCutOff) => {
      if (isCutOff) cutOff.add(host);
      else cutOff.delete(host);
    },
    setMessageLoss: (probability) => {
      lossProbability = probability;
    },
    setSuspected: (host, isSuspected) => {
      if (isSuspected) suspected.add(host);
      else suspected.delete(host);
    },
    run,
    close: () => {
      nodes.forEach(({ manager }) => manager.close());
      store.close();
    },
  };
}
