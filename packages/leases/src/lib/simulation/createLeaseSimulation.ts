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
import { createInvariantChecker } from './createInvariantChecker';
import { createPauseControl, type PauseControl } from './createPauseControl';
import { createProcessClock } from './createProcessClock';
import type { LeaseSimulation, SimulatedNode } from './LeaseSimulation';

const PARTITION = 'home/orders' as PartitionId;

/** Options of a simulation. */
export interface LeaseSimulationOptions {
  readonly clock: FakeClock;
  readonly random: RandomSource;
  readonly timing: LeaseTiming;
  /** Zone and clock rate of each host. */
  readonly hosts: readonly { readonly zone: string; readonly rate: number }[];
  /** Maximum one-way delay of a message, in milliseconds, unless it is late. */
  readonly maximumDelayMilliseconds?: number;
  /** Probability that a message is late by up to 4 s. */
  readonly lateProbability?: number;
  readonly prepareCandidate?: LeaseManagerOptions['prepareCandidate'];
  /** Wraps the peers, for example to inject faults. */
  readonly changePeers?: (peers: LeasePeers) => LeasePeers;
}

/**
 * Creates a simulation and starts a process on each host.
 *
 * @internal
 */
export function createLeaseSimulation(options: LeaseSimulationOptions): LeaseSimulation {
  const { clock, random, timing, hosts, prepareCandidate } = options;
  const { maximumDelayMilliseconds = 10, lateProbability = 0 } = options;
  const changePeers = options.changePeers ?? ((peers) => peers);
  const store = createMemoryStore({ clock });
  const nodes = new Map<number, SimulatedNode>();
  const suspected = new Set<number>();
  const cutOff = new Set<number>();
  const pauseAtRequest = new Map<number, number>();
  const invariants = createInvariantChecker(store, nodes, PARTITION);
  let lossProbability = 0;
  let nextIncarnation = 1;

  const delayMessage = async (): Promise<void> => {
    const isLate = random.next() < lateProbability;
    await clock.sleep(1 + random.nextInteger(isLate ? 4_000 : maximumDelayMilliseconds));
  };

  const roundTrip = async <Value>(
    host: number,
    pauseControl: PauseControl,
    effect: () => Promise<Value>,
  ): Promise<Value> => {
    const pauseMilliseconds = pauseAtRequest.get(host);
    if (pauseMilliseconds !== undefined) {
      pauseAtRequest.delete(host);
      pauseControl.pause();
      clock.setTimer(pauseMilliseconds, pauseControl.resume);
    }
    await delayMessage();
    const value = await effect();
    await delayMessage();
    await pauseControl.whenRunning();
    return value;
  };

  // Never resolves for a lost message; the sender has a timeout.
  const loseIf = async (isLost: boolean): Promise<void> => {
    if (isLost) await firstValueFrom(NEVER);
  };

  const loseAtRandom = (): Promise<void> => loseIf(random.next() < lossProbability);

  const callStore = <Value>(
    host: number,
    pauseControl: PauseControl,
    call: () => Promise<Value>,
  ): Promise<Value> =>
    roundTrip(host, pauseControl, async () => {
      await loseIf(cutOff.has(host));
      const value = await call();
      await delayMessage();
      await loseIf(cutOff.has(host));
      return value;
    });

  const createRemoteStore = (
    host: number,
    pauseControl: PauseControl,
  ): Pick<Store, 'get' | 'compareAndSwap'> => ({
    get: (key) => callStore(host, pauseControl, () => store.get(key)),
    compareAndSwap: (...parameters) =>
      callStore(host, pauseControl, () => store.compareAndSwap(...parameters)),
  });

  const deliver = async <Value>(
    host: number,
    pauseControl: PauseControl,
    to: LeaseNode,
    answer: (manager: SimulatedNode['manager']) => Value,
  ): Promise<Value | undefined> =>
    roundTrip(host, pauseControl, async () => {
      await loseAtRandom();
      const target = [...nodes.values()].find(({ member }) => member.host === to.host);
      if (!target) return undefined;
      await target.pauseControl.whenRunning();
      const value = answer(target.manager);
      await loseAtRandom();
      return value;
    });

  const createPeers = (host: number, pauseControl: PauseControl): LeasePeers => ({
    requestExtension: (to, request) =>
      deliver(host, pauseControl, to, (manager) => manager.answerExtension(request)),
    locate: (to, partition) =>
      deliver(host, pauseControl, to, (manager) => manager.answerLocate(partition)),
    refresh: (to, partition) =>
      deliver(host, pauseControl, to, (manager) => manager.refresh(partition)),
  });

  const eligibleMembers = (): readonly LeaseMember[] =>
    [...nodes].filter(([host]) => !suspected.has(host)).map(([, { member }]) => member);

  const crash = (host: number): void => {
    nodes.get(host)?.pauseControl.pause();
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
    const pauseControl = createPauseControl();
    const manager = createLeaseManager({
      self: member,
      store: createRemoteStore(host, pauseControl),
      clock: createProcessClock(clock, rate, pauseControl, random),
      logger: createSilentLogger(),
      peers: changePeers(createPeers(host, pauseControl)),
      eligibleMembers,
      timing,
      prepareCandidate,
    });
    nodes.set(host, { member, pauseControl, manager });
    invariants.follow(host, manager);
    manager.participate(PARTITION);
  };

  const run: LeaseSimulation['run'] = async (milliseconds, stepMilliseconds = 250) => {
    let withoutHolder = 0;
    for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
      await clock.advance(Math.min(stepMilliseconds, milliseconds - elapsed));
      invariants.check();
      if (invariants.holder() === undefined) withoutHolder += stepMilliseconds;
    }
    return withoutHolder;
  };

  hosts.forEach((_, host) => start(host));
  return {
    partition: PARTITION,
    store,
    violations: invariants.violations,
    epochs: invariants.epochs,
    start,
    crash,
    node: (host) => nodes.get(host),
    holder: invariants.holder,
    pauseAtNextRequest: (host, milliseconds) => {
      pauseAtRequest.set(host, milliseconds);
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
