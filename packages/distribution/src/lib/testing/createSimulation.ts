import type { AccountId, HostId, KeyId, RegionId, Result, ZoneId } from '@buckthornslip/common';
import { createFakeClock, failure, success } from '@buckthornslip/common';
import type {
  ConfigurationFollower,
  ConfigurationPeers,
  PeerContact,
  PeerError,
  PublicationResult,
} from '@buckthornslip/distribution';
import { createConfigurationFollower, createPublisher } from '@buckthornslip/distribution';
import { createSilentLogger } from '@buckthornslip/telemetry';
import type { InstallRevisionRequest } from '@buckthornslip/wire';

import type { InjectedOutcome } from './createFakeStore';
import { createFakeStore } from './createFakeStore';
import { testManifest } from './testManifest';

const OUTCOMES: readonly InjectedOutcome[] = [
  'works',
  'works',
  'works',
  'response-lost',
  'lost',
  'late',
];
/** Short enough for the delays within one test run to exceed it. */
export const FRESHNESS_LIMIT_MILLISECONDS = 600;

const FLEET_SECRET = 'secret-of-the-test-fleet';

/** A publication and the result that the publisher reported. */
export interface PublicationAttempt {
  readonly release?: string;
  readonly granted?: KeyId;
  readonly withdrawn?: KeyId;
  /** Undefined until the publication has ended. */
  readonly result: () => PublicationResult | undefined;
}

/** One step of a simulation. The meaning of `a` and `b` depends on the action. */
export interface Step {
  readonly action:
    | 'manifest'
    | 'grant'
    | 'withdraw'
    | 'poll-store'
    | 'poll-peers'
    | 'announce'
    | 'install'
    | 'restart'
    | 'deliver';
  readonly a: number;
  readonly b: number;
}

function pick<Item>(items: readonly Item[], number: number): Item | undefined {
  return items[number % items.length];
}

/** State and steps of {@link createSimulation}. */
export type Simulation = Awaited<ReturnType<typeof createSimulation>>;

/**
 * Simulates three nodes, two of them contacts, and a store. Each message is held until a step delivers, loses or delays
 * it.
 */
export async function createSimulation() {
  const clock = createFakeClock();
  const pendingCalls: ((outcome: InjectedOutcome) => void)[] = [];
  const delayedEffects: (() => void)[] = [];
  const attempts: PublicationAttempt[] = [];
  const keyIds: KeyId[] = [];
  const installs: InstallRevisionRequest[] = [];
  let isFaultFree = true;

  const nextOutcome = (): Promise<InjectedOutcome> | InjectedOutcome =>
    isFaultFree
      ? 'works'
      : new Promise((resolve) => {
          pendingCalls.push(resolve);
        });
  const store = createFakeStore(nextOutcome, (effect) => delayedEffects.push(effect));
  const publisher = createPublisher(store, { clock, fleetSecret: FLEET_SECRET });

  const contacts: readonly PeerContact[] = ['riga', 'daugavpils'].map((region, index) => ({
    host: `host-${index}` as HostId,
    region: region as RegionId,
    zone: `${region}-a` as ZoneId,
    controlAddress: `node-${index}`,
  }));

  const nodes: ConfigurationFollower[] = [];

  /** Requests and responses may be lost or delayed. The step `announce` repeats stale announcements. */
  const send = async <Value>(
    address: string,
    run: (node: ConfigurationFollower) => Value,
  ): Promise<Result<Value, PeerError>> => {
    const lost = failure<PeerError>({ kind: 'peer-failed', reason: 'lost' });
    const arrive = (): Value | undefined => {
      const node = nodes[Number(address.slice('node-'.length))];
      return node === undefined ? undefined : run(node);
    };
    const outcome = await nextOutcome();
    if (outcome === 'lost') return lost;
    if (outcome === 'late') delayedEffects.push(arrive);
    if (outcome === 'late') return lost;
    const value = arrive();
    // The response is held as well, while its sender and receiver continue.
    const isLost = outcome === 'response-lost' || (await nextOutcome()) === 'lost';
    return isLost || value === undefined ? lost : success(value);
  };

  const peers: ConfigurationPeers = {
    fetchConfiguration: (address, request) =>
      send(address, ({ handlers }) => handlers.fetchConfiguration(request)),
    fetchParts: (address, request) => send(address, ({ handlers }) => handlers.fetchParts(request)),
    announceRevision: (address, request) =>
      send(address, ({ handlers }) => handlers.announceRevision(request)),
    installRevision: (address, request) =>
      send(address, ({ handlers }) => handlers.installRevision(request)),
  };

  const start = (index: number): void => {
    const contact = contacts[index] ?? contacts[0];
    nodes[index] = createConfigurationFollower({
      host: `host-${index}` as HostId,
      region: contact?.region ?? ('riga' as RegionId),
      zone: contact?.zone ?? ('riga-a' as ZoneId),
      controlAddress: `node-${index}`,
      clock,
      logger: createSilentLogger(),
      store,
      peers,
      fleetSecret: FLEET_SECRET,
      freshnessLimitMilliseconds: FRESHNESS_LIMIT_MILLISECONDS,
      isContact: () => index < contacts.length,
      contacts: () => contacts,
      registeredNodes: () => ['node-2'],
    });
  };
  [0, 1, 2].forEach(start);

  const attempt = (
    made: Omit<PublicationAttempt, 'result'>,
    publication: Promise<PublicationResult>,
  ): Promise<void> => {
    let result: PublicationResult | undefined;
    attempts.push({ ...made, result: () => result });
    return publication.then((known) => {
      result = known;
      if (known.kind === 'published' && known.install !== undefined) installs.push(known.install);
    });
  };

  const grant = (): void => {
    void publisher.grantKey('jelgava' as AccountId).then(({ keyId, result }) => {
      keyIds.push(keyId);
      return attempt({ granted: keyId }, Promise.resolve(result));
    });
  };

  const actions: Readonly<Record<Step['action'], (a: number, b: number) => void>> = {
    manifest: (a) => {
      const release = String(attempts.length);
      const required = a % 2 === 0 ? undefined : a;
      void attempt({ release }, publisher.publishManifest(testManifest(release), required));
    },
    grant,
    withdraw: (a) => {
      const keyId = pick(keyIds, a);
      if (keyId !== undefined) void attempt({ withdrawn: keyId }, publisher.withdrawKey(keyId));
    },
    'poll-store': (a) => {
      void pick(nodes.slice(0, 2), a)?.pollStore();
    },
    'poll-peers': (a) => {
      void pick(nodes, a)?.pollPeers();
    },
    announce: (a, b) => {
      const revision = pick(nodes, a)?.current()?.revision ?? 0;
      const request = { revision, controlAddress: `node-${a % nodes.length}` };
      pick(nodes, b)?.handlers.announceRevision(request);
    },
    install: (a, b) => {
      const request = pick(installs, b);
      if (request !== undefined) pick(nodes, a)?.handlers.installRevision(request);
    },
    restart: (a) => start(a % nodes.length),
    deliver: (a, b) => {
      const effects = delayedEffects.splice(b % 7, 1);
      effects.forEach((effect) => effect());
      const [resolve] = pendingCalls.splice(a % Math.max(1, pendingCalls.length), 1);
      resolve?.(pick(OUTCOMES, b) ?? 'works');
    },
  };

  const runStep = async ({ action, a, b }: Step): Promise<void> => {
    actions[action](a, b);
    // Time advances with each step, sometimes far enough for publishers to retry a write.
    await clock.advance(b % 5 === 0 ? 300 : 1);
  };

  /** Stops injecting faults and runs until all calls have completed and all nodes have polled. */
  const endFaults = async (): Promise<void> => {
    isFaultFree = true;
    do {
      delayedEffects.splice(0).forEach((effect) => effect());
      pendingCalls.splice(0).forEach((resolve) => resolve('works'));
      // Longer than a publisher's longest retry delay.
      await clock.advance(5_000);
    } while (pendingCalls.length > 0 || delayedEffects.length > 0);
    for (let round = 0; round < 3; round += 1) {
      for (const node of nodes.slice(0, 2)) await node.pollStore();
      for (const node of nodes) await node.pollPeers();
      await clock.advance(1);
    }
  };

  await publisher.publishManifest(testManifest('first'));
  grant();
  await endFaults();
  isFaultFree = false;
  return { nodes, store, attempts, runStep, endFaults, now: clock.monotonicMilliseconds };
}
