import type {
  HostId,
  Incarnation,
  RegionId,
  ServiceId,
  ZoneId,
  FakeClock,
} from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { Member, MemberDeparture } from '@buckthornslip/membership';
import type { MemoryStore } from '@buckthornslip/platform';
import { createMemoryStore } from '@buckthornslip/platform';
import { createSilentLogger } from '@buckthornslip/telemetry';

import { createMemberDirectory } from '../directory/createMemberDirectory';
import type { DirectoryMessage } from '../directory/DirectoryMessage';
import type { MemberDirectory } from '../directory/MemberDirectory';
import type { PolicyAnnouncement } from '../policy/createPolicyFetcher';

export const TEST_SERVICE = 'service' as ServiceId;

const DEFAULT_ZONE = 'zone' as ZoneId;

/** A message that one node has sent to another. */
export interface SentMessage {
  readonly fromZone: ZoneId;
  readonly toZone: ZoneId;
  /** Records in the message and in its answer. */
  readonly records: number;
}

/** Directories of many nodes on one fake clock and one store, connected by function calls. */
export interface DirectoryFleet {
  readonly clock: FakeClock;
  readonly store: MemoryStore;
  /** Hosts that receive no messages. */
  readonly unreachable: Set<string>;
  /** Messages since they were last cleared. */
  readonly messages: SentMessage[];
  /** Hosts that follow the policy in the store. */
  readonly followers: Set<string>;
  /** Policy revision of each host; 0 if it is not set. */
  readonly policyRevisions: Map<string, number>;
  /** Departures of which restarted hosts have been told. */
  readonly earlierDepartures: Map<string, MemberDeparture>;
  readonly start: (host: string, incarnation?: number, zone?: ZoneId) => MemberDirectory;
  /** Ends a host without a graceful shutdown. */
  readonly end: (host: string) => void;
  /** @returns Hosts that a node considers alive and ready, sorted. */
  readonly usable: (host: string) => string[];
  readonly get: (host: string) => MemberDirectory;
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
 * @returns The fleet.
 */
export function createDirectoryFleet(seed: number): DirectoryFleet {
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const store = createMemoryStore({ clock });
  const directories = new Map<string, MemberDirectory>();
  const unreachable = new Set<string>();
  const followers = new Set<string>();
  const policyRevisions = new Map<string, number>();
  const earlierDepartures = new Map<string, MemberDeparture>();
  const messages: SentMessage[] = [];
  const hasStarted = new Set<string>();
  let lastIncarnation = 0;

  const deliver = (
    from: ZoneId,
    host: string,
    sent: DirectoryMessage,
  ): DirectoryMessage | undefined => {
    const receiver = unreachable.has(host) ? undefined : directories.get(host);
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
    policyRevisions.delete(host);
  };

  const start: DirectoryFleet['start'] = (host, incarnation, zone = DEFAULT_ZONE) => {
    lastIncarnation += 1;
    const fetchPolicy = ({ address }: PolicyAnnouncement): void => {
      const revision = policyRevisions.get(hostOf(address)) ?? 0;
      if (revision <= (policyRevisions.get(host) ?? 0)) return;
      policyRevisions.set(host, revision);
      directories.get(host)?.announcePolicy();
    };
    const directory = createMemberDirectory({
      self: createMember(host, incarnation ?? lastIncarnation, zone),
      clock,
      random,
      store,
      peers: { exchange: async (address, sent) => deliver(zone, hostOf(address), sent) },
      logger: createSilentLogger(),
      isFirstStart: !hasStarted.has(host),
      policyRevision: () => policyRevisions.get(host) ?? 0,
      onNewerPolicy: fetchPolicy,
      onFollowPolicy: (follows) => {
        if (follows) followers.add(host);
        else followers.delete(host);
      },
      onEarlierDeparture: (departure) => earlierDepartures.set(host, departure),
    });
    directories.set(host, directory);
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
    messages,
    followers,
    policyRevisions,
    earlierDepartures,
    start,
    end,
    usable,
    get,
  };
}
