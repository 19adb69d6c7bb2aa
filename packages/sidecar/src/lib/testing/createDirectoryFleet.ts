import type {
  HostId,
  Incarnation,
  RegionId,
  ServiceId,
  ZoneId,
  FakeClock,
  Result,
} from '@buckthornslip/common';
import { createFakeClock, createSeededRandom, success } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import type { Member, MemberDeparture } from '@buckthornslip/membership';
import type { MemoryStore } from '@buckthornslip/platform';
import { createMemoryStore } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { skipWhile } from 'rxjs';

import { channelTimes } from '../channel/channelTimes';
import { createMemberDirectory } from '../directory/createMemberDirectory';
import type { DirectoryMessage } from '../directory/DirectoryMessage';
import type { MemberDirectory } from '../directory/MemberDirectory';
import { createEvacuationOrders } from '../evacuation/createEvacuationOrders';
import type { EvacuationOrders } from '../evacuation/EvacuationOrders';
import { createStatementSender } from '../evacuation/createStatementSender';
import { createPolicyFetcher } from '../policy/createPolicyFetcher';
import type { PolicyError } from '../policy/createPolicyWatcher';
import type { DecodedPolicy } from '../policy/DecodedPolicy';
import { createPolicyWatcher } from '../policy/createPolicyWatcher';
import type { PolicyWatcher } from '../policy/PolicyWatcher';
import { createHostStore } from './createHostStore';
import type { StoreFailures } from './createStoreFailures';
import { createStoreFailures } from './createStoreFailures';

export const TEST_SERVICE = 'service' as ServiceId;

const DEFAULT_ZONE = 'zone' as ZoneId;

/** A message that one node has sent to another. */
export interface SentMessage {
  readonly fromZone: ZoneId;
  readonly toZone: ZoneId;
  /** Records in the message and in its answer. */
  readonly records: number;
}

/** Options of a fleet. */
interface FleetOptions {
  /** Whether the connections of hosts that are cut off are reset, so that messages fail at once. */
  readonly resetByCut?: boolean;
}

/** Directories of many nodes on one fake clock and one store, connected by function calls. */
export interface DirectoryFleet {
  readonly clock: FakeClock;
  readonly store: MemoryStore;
  /** Hosts that are cut off from the other hosts; messages from and to them fail after a timeout. */
  readonly unreachable: Set<string>;
  /** Hosts that the store does not serve, and how their calls fail. */
  readonly turnedAway: StoreFailures;
  /** Messages since they were last cleared. */
  readonly messages: SentMessage[];
  /** Hosts that follow the policy in the store. */
  readonly followers: Set<string>;
  /** Writes a policy to the store, from which the hosts that follow it read it. */
  readonly publish: (revision: number) => Promise<void>;
  /** Writes or removes an evacuation order. */
  readonly setEvacuated: (zone: string, isOrdered: boolean) => Promise<void>;
  /** @returns Zones that are evacuated as far as a host knows, sorted; undefined if it knows no orders. */
  readonly evacuated: (host: string) => readonly string[] | undefined;
  /** Gives a policy to a single host, as if it had read it from the store. */
  readonly offerPolicy: (host: string, revision: number) => void;
  /** @returns Revision of a host's policy; 0 if it has none. */
  readonly policyRevision: (host: string) => number;
  /** Departures of which restarted hosts have been told. */
  readonly earlierDepartures: Map<string, MemberDeparture>;
  /** Number of restores of the store that each host has noticed. */
  readonly restoresSeen: ReadonlyMap<string, number>;
  readonly start: (host: string, incarnation?: number, zone?: ZoneId) => MemberDirectory;
  /** Ends a host without a graceful shutdown. */
  readonly end: (host: string) => void;
  /** @returns Hosts that a node considers alive and ready, sorted. */
  readonly usable: (host: string) => string[];
  readonly get: (host: string) => MemberDirectory;
}

/** Time within which a policy must be in force, in milliseconds. */
export const POLICY_APPLY_MILLISECONDS = 2_500;

/** Time for which an order that a restored store lacks stays in force, in milliseconds. */
const RETENTION_MILLISECONDS = 4_000;

/** Prefix of the operator's keys in the store. */
const OPERATOR_PREFIX = 'operator/';

/** Store key of the policy. */
const POLICY_KEY = `${OPERATOR_PREFIX}policy`;

/** Prefix of the store keys of evacuation orders. */
const EVACUATION_PREFIX = `${OPERATOR_PREFIX}evacuate/`;

/** Decodes a policy that consists of its revision only. */
function decodeTestPolicy(bytes: Uint8Array): Result<DecodedPolicy, PolicyError> {
  const policy: CallPolicy = {
    revision: Number(Buffer.from(bytes).toString()),
    routes: [],
    services: new Map(),
    accounts: new Map(),
    accountOfKey: new Map(),
    requestLimits: { headBytes: 0, bodyBytes: 0, headMilliseconds: 0, idleMilliseconds: 0 },
  };
  return success({ policy, faults: [] });
}

const addressOf = (host: string): string => `${host}:7000`;

const hostOf = (address: string): string => address.slice(0, address.indexOf(':'));

function createMember(host: string, incarnation: number, zone: ZoneId): Member {
  return {
    host: host as HostId,
    incarnation: incarnation as Incarnation,
    version: 1,
    service: TEST_SERVICE,
    region: 'region' as RegionId,
    zone,
    peerAddress: addressOf(host),
    controlAddress: addressOf(host),
    slots: 10,
    connections: 10,
    state: 'ready',
    alive: true,
  };
}

/**
 * Creates a fleet without nodes.
 *
 * @param seed - Seed of the nodes' random numbers.
 * @param options - How connections fail.
 * @returns The fleet.
 */
export function createDirectoryFleet(
  seed: number,
  { resetByCut = false }: FleetOptions = {},
): DirectoryFleet {
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const store = createMemoryStore({ clock });
  const directories = new Map<string, MemberDirectory>();
  const unreachable = new Set<string>();
  const turnedAway = createStoreFailures(clock);
  const followers = new Set<string>();
  const policies = new Map<string, PolicyWatcher>();
  const evacuations = new Map<string, EvacuationOrders>();
  const earlierDepartures = new Map<string, MemberDeparture>();
  const restoresSeen = new Map<string, number>();
  const messages: SentMessage[] = [];
  const hasStarted = new Set<string>();
  let lastIncarnation = 0;

  const policyRevision = (host: string): number => policies.get(host)?.current()?.revision ?? 0;

  const deliver = async (
    from: ZoneId,
    host: string,
    sent: DirectoryMessage,
  ): Promise<DirectoryMessage | undefined> => {
    if (unreachable.has(host) || unreachable.has(sent.from.host)) {
      if (!resetByCut) await clock.sleep(channelTimes.exchangeTimeout);
      return undefined;
    }
    const receiver = directories.get(host);
    const answer = receiver?.receive(sent);
    const toZone = receiver?.self().zone;
    if (answer && toZone !== undefined) {
      const records = sent.members.length + answer.members.length;
      messages.push({ fromZone: from, toZone, records });
    }
    return answer;
  };

  const end = (host: string): void => {
    directories.get(host)?.close();
    directories.delete(host);
    followers.delete(host);
    policies.get(host)?.close();
    policies.delete(host);
    evacuations.get(host)?.close();
    evacuations.delete(host);
  };

  const start: DirectoryFleet['start'] = (host, incarnation, zone = DEFAULT_ZONE) => {
    lastIncarnation += 1;
    const logger = createSilentLogger();
    const hostStore = createHostStore({ clock, store, host, failures: turnedAway });
    const orders = createEvacuationOrders({
      clock,
      logger,
      keyPrefix: EVACUATION_PREFIX,
      retentionMilliseconds: RETENTION_MILLISECONDS,
    });
    evacuations.set(host, orders);
    const policy = createPolicyWatcher({
      clock,
      store: hostStore,
      key: POLICY_KEY,
      prefix: OPERATOR_PREFIX,
      evacuations: orders,
      decode: decodeTestPolicy,
      reportFaults: () => undefined,
      logger,
      firstConfirmationShare: () => directories.get(host)?.relayShare() ?? 1,
      onChange: () => directories.get(host)?.announceOrders(),
    });
    const fetcher = createPolicyFetcher({
      clock,
      logger,
      currentRevision: () => policyRevision(host),
      request: async (address) => {
        const other = hostOf(address);
        if (!unreachable.has(other)) {
          const statement = evacuations.get(other)?.statement();
          if (statement) orders.learn(statement, other);
          return policies.get(other)?.currentBytes();
        }
        await clock.sleep(channelTimes.exchangeTimeout);
        return undefined;
      },
      offer: policy.offer,
      readStore: policy.refresh,
    });
    policies.set(host, policy);
    const directory = createMemberDirectory({
      self: createMember(host, incarnation ?? lastIncarnation, zone),
      clock,
      random,
      store: hostStore,
      peers: { exchange: (address, sent) => deliver(zone, hostOf(address), sent) },
      logger,
      isFirstStart: !hasStarted.has(host),
      policyApplyMilliseconds: POLICY_APPLY_MILLISECONDS,
      policyKnowledge: policy.knowledge,
      onPolicyKnowledge: policy.learn,
      evacuationsToSend: createStatementSender(clock, orders).toSend,
      onEvacuations: orders.learn,
      hasConnections: () => !resetByCut || !unreachable.has(host),
      onNewerPolicy: fetcher.announce,
      onFollowPolicy: (follows) => {
        policy.setFollowing(follows);
        if (follows) followers.add(host);
        else followers.delete(host);
      },
      onEarlierDeparture: (departure) => {
        earlierDepartures.set(host, departure);
        directories.get(host)?.update({ departure });
      },
      onStoreRestored: () => restoresSeen.set(host, (restoresSeen.get(host) ?? 0) + 1),
    });
    directories.set(host, directory);
    orders.changes.pipe(skipWhile(({ size }) => size === 0)).subscribe(directory.announceOrders);
    hasStarted.add(host);
    directory.start();
    return directory;
  };

  const get = (host: string): MemberDirectory => directories.get(host) as MemberDirectory;

  const usable = (host: string): string[] =>
    (directories.get(host)?.members(TEST_SERVICE) ?? [])
      .filter(({ alive, state }) => alive && state === 'ready')
      .map((member) => member.host)
      .sort();

  return {
    clock,
    store,
    unreachable,
    turnedAway,
    messages,
    followers,
    publish: async (revision) => {
      const current = await store.get(POLICY_KEY);
      const storeRevision = current.ok ? (current.value?.revision ?? 0) : 0;
      await store.compareAndSwap(POLICY_KEY, storeRevision, Buffer.from(String(revision)));
    },
    setEvacuated: async (zone, isOrdered) => {
      const key = `${EVACUATION_PREFIX}${zone}`;
      const current = await store.get(key);
      const storeRevision = current.ok ? (current.value?.revision ?? 0) : 0;
      await (isOrdered
        ? store.compareAndSwap(key, storeRevision, Buffer.from('1'))
        : store.remove(key, storeRevision));
    },
    evacuated: (host) => {
      const orders = evacuations.get(host);
      return orders?.statement() && [...orders.zones()].sort();
    },
    offerPolicy: (host, revision) =>
      policies.get(host)?.offer(Buffer.from(String(revision)), 'store'),
    policyRevision,
    earlierDepartures,
    restoresSeen,
    start,
    end,
    usable,
    get,
  };
}
