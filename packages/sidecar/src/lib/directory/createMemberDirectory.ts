import type { Clock, HostId, Incarnation, RandomSource } from '@buckthornslip/common';
import type { Member, MemberDeparture } from '@buckthornslip/membership';
import type { Store, StoreEra } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';
import { first, firstValueFrom, merge } from 'rxjs';

import type { EvacuationStatement } from '../evacuation/EvacuationStatement';
import type { PolicyAnnouncement } from '../policy/createPolicyFetcher';
import type { PolicyKnowledge } from '../policy/PolicyKnowledge';
import { policyKnowledgeOf } from '../policy/policyKnowledgeOf';
import type { Changes } from './createChangeBatch';
import { createChangeBatch } from './createChangeBatch';
import { createExchangePartners } from './createExchangePartners';
import { createMemberTable } from './createMemberTable';
import { createNodeRegistration } from './createNodeRegistration';
import type { RecordListing } from './createRecordReader';
import { createRecordReader, recordKey } from './createRecordReader';
import { createRelayDuty } from './createRelayDuty';
import { createRemovedMembers } from './createRemovedMembers';
import { createRestoreMonitor } from './createRestoreMonitor';
import { createZoneRelays } from './createZoneRelays';
import type { DirectoryMessage } from './DirectoryMessage';
import type { DirectoryPeers } from './DirectoryPeers';
import { isSameStart } from '../serving/isSameStart';
import { isNewerRecord } from './isNewerRecord';
import { directoryTimes } from './directoryTimes';
import type { MemberDirectory } from './MemberDirectory';
import { decodeRecord, encodeRecord } from './memberRecord';
import { memoizeByRevision } from './memoizeByRevision';
import { rewriteSpread } from './rewriteSpread';
import type { StorePosition } from './StorePosition';
import { waitForUsableMembers } from './waitForUsableMembers';

/** Dependencies and settings of the directory. */
export interface MemberDirectoryOptions {
  /** Initial record of this node. */
  readonly self: Member;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly peers: DirectoryPeers;
  readonly logger: EventLogger;
  /** Whether the whole fleet starts for the first time, so that there is no traffic yet. */
  readonly isFirstStart: boolean;
  /** Time within which a policy that the store has accepted must be in force, in milliseconds. */
  readonly policyApplyMilliseconds: number;
  /** @returns This node's current policy and the time since it was known to be the newest. */
  readonly policyKnowledge: () => PolicyKnowledge;
  /** Called with what another node knows of the policy in the store. */
  readonly onPolicyKnowledge: (knowledge: PolicyKnowledge) => void;
  /**
   * @returns The evacuated zones to state in a message.
   * @param received - The message that is answered, if any.
   */
  readonly evacuationsToSend: (received?: DirectoryMessage) => EvacuationStatement | undefined;
  /** Called with the evacuated zones that another node knows. */
  readonly onEvacuations: (statement: EvacuationStatement, source: string) => void;
  /** @returns Whether a connection to or from any other node is open. */
  readonly hasConnections: () => boolean;
  /** Called when another node has a newer policy. */
  readonly onNewerPolicy: (announcement: PolicyAnnouncement) => void;
  /** Called when this node starts or stops following the policy in the store, for itself and its zone. */
  readonly onFollowPolicy: (follows: boolean) => void;
  /** Called when another node still has a record of an earlier process of this node with a departed upstream. */
  readonly onEarlierDeparture: (departure: MemberDeparture) => void;
  /** Called when this node notices that the store was restored from a backup. */
  readonly onStoreRestored: () => void;
}

/** Consecutive failed exchanges after which a node is considered dead. A single one may be lost with its connection. */
const FAILURES_UNTIL_DEAD = 2;

function pick(members: readonly Member[], index: number): Member | undefined {
  return members[index % Math.max(1, members.length)];
}

/**
 * Creates the member directory. Each node writes one record under a lease and reads the records of its zone. As each node
 * writes before it reads, at least one of any two nodes of a zone sees the other and greets it. A few relays in each zone
 * read the records of the other zones. Later changes go from a node to the relays of its zone, from each of them to one
 * relay of every other zone, and from the relays to the nodes of their zones; exchanges repair what was missed. So the
 * number of messages between zones does not depend on the number of nodes that are told, and upstream changes cause no
 * store calls.
 *
 * @param options - Dependencies, such as this node's record, the store and the client of the other nodes.
 * @returns The directory, not yet started.
 * @public
 */
export function createMemberDirectory(options: MemberDirectoryOptions): MemberDirectory {
  const { clock, logger, onNewerPolicy, onPolicyKnowledge, peers, policyKnowledge, random, store } =
    options;
  const table = createMemberTable();
  const relays = createZoneRelays(table);
  const records = createRecordReader({ clock, store, logger });
  const failures = new Map<HostId, number>();
  const lastSeen = new Map<HostId, number>();
  const removed = createRemovedMembers();
  const probing = new Set<HostId>();
  let { self } = options;
  let resolveInformed = (): void => undefined;
  const informed = new Promise<void>((resolve) => {
    resolveInformed = resolve;
  });
  let resolveDeparturesKnown = (): void => undefined;
  const departuresKnown = new Promise<void>((resolve) => {
    resolveDeparturesKnown = resolve;
  });
  /** The departure that was last given to the store. */
  let savedDeparture: MemberDeparture | undefined;
  let isClosed = false;
  let wasRegistered = false;
  let lastContactMilliseconds = clock.monotonicMilliseconds();
  let rejoinedMilliseconds = -Infinity;
  let hasContact = false;
  let disconnectedMilliseconds: number | undefined;
  let isIsolated = false;
  let rounds = 0;
  let contacts = 0;
  table.merge(self);

  const policyRevision = (): number => policyKnowledge().revision;
  const isSelf = ({ host }: Member): boolean => host === self.host;
  const isInZone = ({ zone }: Member): boolean => zone === self.zone;
  const others = (): Member[] => table.all().filter((member) => !isSelf(member));
  const livePeers = memoizeByRevision(table.revision, () => others().filter(({ alive }) => alive));
  const zonePeers = (): Member[] => livePeers().filter(isInZone);
  const ownRank = (): number | undefined => relays.rankOf(self);
  const isRelay = (): boolean => ownRank() !== undefined;
  const otherRelays = (): Member[] => relays.of(self.zone).filter((member) => !isSelf(member));

  /** The relay of the same rank in each other zone, so that each relay is told by one of every zone. */
  const remoteRelays = (): Member[] =>
    relays
      .zones()
      .filter((zone) => zone !== self.zone)
      .flatMap((zone) => {
        const ranked = relays.of(zone);
        return ranked[(ownRank() ?? 0) % ranked.length] ?? [];
      });

  const duty = createRelayDuty({
    clock,
    logger,
    rank: () => relays.rankInZone(self),
    policyAgeMilliseconds: () => policyKnowledge().ageMilliseconds,
    relays: {
      contactOne: async () => {
        contacts += 1;
        const relay = pick(otherRelays(), contacts);
        return relay ? contact(relay) : false;
      },
      contactAll: (isEnough) => {
        const answers = merge(...otherRelays().map(contact));
        return firstValueFrom(answers.pipe(first((isAnswer) => isAnswer && isEnough(), false)));
      },
    },
    applyMilliseconds: options.policyApplyMilliseconds,
    followsAtStart: !options.isFirstStart,
    onFollowPolicy: options.onFollowPolicy,
  });

  const message = (
    members: readonly Member[],
    isUpdate: boolean,
    received?: DirectoryMessage,
  ): DirectoryMessage => ({
    from: self,
    digest: table.digest(),
    policyRevision: policyRevision(),
    policyAgeMilliseconds: policyKnowledge().ageMilliseconds,
    evacuations: options.evacuationsToSend(received),
    members,
    isUpdate,
    storeEra: store.era(),
  });

  const silenceMilliseconds = (): number => clock.monotonicMilliseconds() - lastContactMilliseconds;

  const recordContact = (): void => {
    const now = clock.monotonicMilliseconds();
    const wasSilent = silenceMilliseconds() > directoryTimes.isolationTimeout;
    const wasDisconnected = now - (disconnectedMilliseconds ?? now) > directoryTimes.reconnectTime;
    lastContactMilliseconds = now;
    disconnectedMilliseconds = undefined;
    hasContact = true;
    if (!wasSilent && !wasDisconnected) return;
    rejoinedMilliseconds = now;
    // That this node was cut off explains why it could not reach the others.
    failures.clear();
    others().forEach(({ host }) => table.setAlive(host, true));
    // A newer record shows them that it is back.
    if (!isClosed) void changeSelf({});
  };

  /** Nodes that have not left, including those that are considered dead. */
  const nodeCount = memoizeByRevision(
    table.revision,
    () => table.all().filter(({ state }) => state !== 'left').length,
  );

  const restores = createRestoreMonitor({
    clock,
    logger,
    onRestored: (era) => {
      options.onStoreRestored();
      rewriteRecord(era);
    },
  });

  /**
   * @returns Whether the store may still lack records of live nodes, or have records of nodes that left before it was restored.
   *   The latter end with their leases.
   */
  const isStoreSettling = (): boolean =>
    restores.sinceMilliseconds() <
    rewriteSpread(nodeCount()) + directoryTimes.renewalInterval + directoryTimes.leaseTerm;

  const rateShare = (): number => {
    const nodes = nodeCount();
    const sinceRejoining = clock.monotonicMilliseconds() - rejoinedMilliseconds;
    // If all connections are reset, the others take this node for dead before the timeout.
    const isDisconnected = hasContact && !options.hasConnections();
    if (isDisconnected) disconnectedMilliseconds ??= clock.monotonicMilliseconds();
    const isAlone =
      isDisconnected ||
      silenceMilliseconds() > directoryTimes.isolationTimeout ||
      sinceRejoining < directoryTimes.rejoinDelay;
    const isNowIsolated = nodes > 1 && isAlone;
    if (isNowIsolated !== isIsolated) {
      isIsolated = isNowIsolated;
      const silence = Math.round(silenceMilliseconds());
      logger.log('isolationChanged', { isIsolated, nodes, silenceMilliseconds: silence });
    }
    return isIsolated ? 1 / nodes : 1;
  };

  const markSeen = (member: Member): void => {
    recordContact();
    failures.delete(member.host);
    lastSeen.set(member.host, clock.monotonicMilliseconds());
    table.setAlive(member.host, true);
    if (isInZone(member) && relays.rankOf(member) !== undefined) duty.recordRelayContact();
  };

  const passOn = ({ forOtherZones, forZone }: Changes): void => {
    if (isClosed || !isRelay()) return;
    zonePeers().forEach((member) => {
      void sendUpdate(
        member,
        forZone.filter(({ host }) => host !== member.host),
      );
    });
    if (forOtherZones.length > 0) {
      remoteRelays().forEach((member) => {
        void sendUpdate(member, forOtherZones);
      });
    }
  };
  const changes = createChangeBatch({
    clock,
    delayMilliseconds: directoryTimes.changeDelay,
    send: passOn,
  });

  /**
   * Raises this node's incarnation above that of a record of an earlier process. If the clock was set back between two
   * starts, the earlier record would otherwise look newer.
   */
  const supersede = (earlier: Member): void => {
    if (earlier.incarnation <= self.incarnation) return;
    const incarnation = (earlier.incarnation + 1) as Incarnation;
    logger.log('recordOutranked', { host: self.host, incarnation, earlier: earlier.incarnation });
    void changeSelf({ incarnation });
  };

  /** @returns The known record of a host if its upstream departed, of which a later process of that host has to be told. */
  const departedOf = (known: Member | undefined): readonly Member[] =>
    known?.departure === undefined ? [] : [known];

  const applyRecord = (member: Member, source: string, passesOn: boolean): void => {
    if (isSelf(member)) {
      if (member.departure && member.incarnation !== self.incarnation) {
        options.onEarlierDeparture(member.departure);
      }
      supersede(member);
      return;
    }
    const isFirstHand = source === 'itself';
    // A record in the store has a lease, so that its node is there after all, unless the record is of a backup.
    const isProof = isFirstHand || (source === 'store' && !isStoreSettling());
    if (!isProof && removed.includes(member)) return;
    const known = table.get(member.host);
    if (!table.merge(member)) return;
    removed.forget(member.host);
    lastSeen.set(member.host, clock.monotonicMilliseconds());
    if (passesOn) changes.add(member, isFirstHand && isInZone(member) ? 'all-zones' : 'zone');
    if (known?.state === member.state && known.incarnation === member.incarnation) return;
    const { host, incarnation, service, state, version } = member;
    logger.log('memberChanged', { host, incarnation, service, state, version, source });
    const isNew = known?.incarnation !== member.incarnation;
    if (isNew && !isFirstHand && isInZone(member)) void sendUpdate(member, departedOf(known));
  };

  const countFailure = (member: Member): void => {
    const count = (failures.get(member.host) ?? 0) + 1;
    failures.set(member.host, count);
    if (count < FAILURES_UNTIL_DEAD || !table.get(member.host)?.alive) return;
    logger.log('memberUnreachable', {
      host: member.host,
      service: member.service,
      failures: count,
    });
    const failedRelay = isInZone(member) && relays.rankOf(member) !== undefined;
    table.setAlive(member.host, false);
    // The others may have failed with it, and this node may have to take over.
    if (!failedRelay) return;
    otherRelays().forEach((relay) => {
      void probe(relay.host);
    });
  };

  /** Relays usually read a new policy from the store themselves, so they fetch it from another zone only after a delay. */
  const handleNewerPolicy = async (from: Member, revision: number): Promise<void> => {
    if (!isInZone(from)) await clock.sleep(directoryTimes.remotePolicyDelay);
    if (!isClosed && revision > policyRevision()) {
      onNewerPolicy({ address: from.peerAddress, revision });
    }
  };

  const applyMessage = (received: DirectoryMessage): void => {
    if (received.evacuations) options.onEvacuations(received.evacuations, received.from.host);
    applyRecord(received.from, 'itself', isRelay());
    markSeen(received.from);
    restores.hear(received.storeEra, received.from.host);
    const passesOn = received.members.length > 0 && isRelay();
    received.members.forEach((member) => applyRecord(member, received.from.host, passesOn));
    if (received.policyRevision > policyRevision()) {
      void handleNewerPolicy(received.from, received.policyRevision);
    }
  };

  const hasRestartedAfterDeparture = (from: Member, known: Member): boolean =>
    known.departure !== undefined && known.incarnation !== from.incarnation;

  async function request(
    member: Member,
    sent: DirectoryMessage,
  ): Promise<DirectoryMessage | undefined> {
    const sentMilliseconds = clock.monotonicMilliseconds();
    const answer = await peers.exchange(member.peerAddress, sent);
    if (isClosed || !answer) return undefined;
    const known = table.get(answer.from.host);
    applyMessage(answer);
    if (known && hasRestartedAfterDeparture(answer.from, known)) {
      void sendUpdate(answer.from, [known]);
    }
    // Only an answer bounds the time that a message has taken, and so the age of what it says.
    const roundTripMilliseconds = clock.monotonicMilliseconds() - sentMilliseconds;
    onPolicyKnowledge(policyKnowledgeOf(answer, roundTripMilliseconds));
    return answer;
  }

  async function send(member: Member, sent: DirectoryMessage): Promise<boolean> {
    const answer = await request(member, sent);
    if (!answer) {
      if (!isClosed) countFailure(member);
      return false;
    }
    if (!sent.isUpdate && answer.members.length > 0) {
      removeMissing(answer);
      resolveInformed();
    }
    return true;
  }

  /**
   * Contacts a relay. A failure does not count towards its death: contacts are frequent and early, and nodes that take a
   * member for dead sooner than others use another node's account ledgers meanwhile.
   */
  async function contact(relay: Member): Promise<boolean> {
    return (await request(relay, message([], true))) !== undefined;
  }

  const exchangeWith = (member: Member): Promise<boolean> => send(member, message([], false));

  function sendUpdate(member: Member, members: readonly Member[]): Promise<boolean> {
    return send(member, message(members, true));
  }

  /** @returns A promise that resolves when all nodes that are told have answered or failed to answer. */
  async function changeSelf(change: Partial<Member>): Promise<void> {
    self = { ...self, ...change, version: self.version + 1 };
    table.merge(self);
    const told = isRelay() ? [...zonePeers(), ...remoteRelays()] : otherRelays();
    await Promise.all(told.map((member) => sendUpdate(member, [])));
  }

  async function probe(host: HostId): Promise<void> {
    const member = table.get(host);
    if (!member || isSelf(member) || probing.has(host)) return;
    probing.add(host);
    for (let attempts = 0; attempts < FAILURES_UNTIL_DEAD; attempts += 1) {
      if (await exchangeWith(member)) break;
    }
    probing.delete(host);
  }

  const remove = (member: Member, cause: string): void => {
    const { host, incarnation } = member;
    table.remove(host);
    removed.add(member);
    logger.log('memberForgotten', { host, incarnation, cause });
  };

  /** Removes nodes that a complete list does not contain and that have been silent for a long time. */
  const removeAbsent = (hosts: ReadonlySet<HostId>, cause: string): void => {
    if (isStoreSettling()) return;
    const removeBefore = clock.monotonicMilliseconds() - directoryTimes.removalTimeout;
    others()
      .filter(({ host }) => !hosts.has(host) && (lastSeen.get(host) ?? 0) < removeBefore)
      .forEach((member) => remove(member, cause));
  };

  /** The relays of a zone decide which nodes are removed; the other nodes of the zone follow their lists. */
  function removeMissing({ from, members }: DirectoryMessage): void {
    if (isRelay() || !isInZone(from) || relays.rankOf(from) === undefined) return;
    removeAbsent(new Set(members.map(({ host }) => host)), 'missing at a relay');
  }

  const applyListing = ({ members }: RecordListing): void => {
    const passesOn = isRelay();
    members.forEach((member) => applyRecord(member, 'store', passesOn));
  };

  const readZone = async (minimum: StorePosition): Promise<void> => {
    const listing = await records.read(self.zone, minimum);
    if (listing && !isClosed) applyListing(listing);
  };

  /** @returns Whether the records could be read. */
  const readAllZones = async (): Promise<boolean> => {
    const listing = await records.read(undefined);
    if (!listing || isClosed) return false;
    applyListing(listing);
    removeAbsent(listing.hosts, 'no record in the store');
    return true;
  };

  /** A relay reads the records of other zones, another node gets them from the relays of its zone. */
  const learnOtherZones = async (): Promise<void> => {
    if (isRelay()) {
      if (await readAllZones()) resolveInformed();
    } else await Promise.all(otherRelays().map((relay) => exchangeWith(relay)));
  };

  /** A node without a policy serves nobody, so it can wait for the store or another node as long as they are away. */
  const stopWaitingToBeInformed = async (): Promise<void> => {
    while (!isClosed && policyRevision() === 0)
      await clock.sleep(directoryTimes.policyCheckInterval);
    await clock.sleep(directoryTimes.informedTimeout);
    resolveInformed();
  };

  /**
   * The records of earlier processes are still in the store, so an old state of it names the other nodes as well. Without the
   * store, a list from another node does.
   */
  const informAfterRestart = async (): Promise<void> => {
    void stopWaitingToBeInformed();
    if (await readAllZones()) resolveInformed();
  };

  const registration = createNodeRegistration({
    clock,
    store,
    logger,
    key: recordKey(self),
    value: () => encodeRecord(self),
    onEarlierValue: (value) => {
      const earlier = decodeRecord(value);
      if (earlier && isSelf(earlier)) applyRecord(earlier, 'store', false);
    },
    rewriteDelayMilliseconds: () => random.next() * rewriteSpread(nodeCount()),
    onWritten: (position) => {
      resolveDeparturesKnown();
      restores.begin(position.era);
      // Other nodes may have removed this one after its earlier record expired; only a newer record restores it.
      if (wasRegistered) void changeSelf({});
      wasRegistered = true;
      void readZone(position).then(learnOtherZones);
    },
  });

  function rewriteRecord(era: StoreEra): void {
    registration.rewrite(era);
  }

  /** One write for each departure: the store's record shows that the upstream is leaving, whether it drains or has left. */
  const saveDeparture = (departure: MemberDeparture): void => {
    if (savedDeparture && isSameStart(savedDeparture, departure)) return;
    savedDeparture = departure;
    registration.save();
  };

  const whenDepartureSaved = (): Promise<boolean> =>
    Promise.race([
      registration.whenSaved().then(() => true),
      clock.sleep(directoryTimes.departureSaveTimeout).then(() => false),
    ]);

  const partnersOf = createExchangePartners(random, {
    isRelay,
    isInZone,
    others,
    livePeers,
    zonePeers,
    otherRelays,
    remoteRelays,
  });

  const storeReadRounds = Math.round(
    directoryTimes.storeReadInterval / directoryTimes.exchangeInterval,
  );

  const exchangePeriodically = async (): Promise<void> => {
    while (!isClosed) {
      await clock.sleep(directoryTimes.exchangeInterval * (0.75 + random.next() / 2));
      rounds += 1;
      restores.observe(store.era());
      partnersOf(rounds).forEach(({ host }) => {
        void probe(host);
      });
      if (isRelay() && rounds % storeReadRounds === 0) void readAllZones();
    }
  };

  /**
   * A node is told of the known record of its host if that is newer, because it has to raise its incarnation, or if it is of
   * an earlier process with a departed upstream.
   */
  const isToldOfEarlier = (from: Member, known: Member): boolean =>
    isNewerRecord(known, from) || hasRestartedAfterDeparture(from, known);

  return {
    self: () => self,
    members: table.ofService,
    changes: table.changes,
    waitForMembers: (service, timeoutMilliseconds) =>
      waitForUsableMembers(table, service, timeoutMilliseconds),
    suspect: (host) => {
      void probe(host);
    },
    whenInformed: () => informed,
    start: () => {
      lastContactMilliseconds = clock.monotonicMilliseconds();
      if (options.isFirstStart) {
        resolveInformed();
        resolveDeparturesKnown();
      } else {
        void informAfterRestart();
        clock.setTimer(directoryTimes.informedTimeout, resolveDeparturesKnown);
      }
      registration.start();
      duty.start(() => {
        void readAllZones();
      });
      void exchangePeriodically();
    },
    update: (change) => {
      void changeSelf(change);
      if (change.departure) saveDeparture(change.departure);
    },
    whenDepartureSaved,
    whenDeparturesKnown: () => departuresKnown,
    announceOrders: () => {
      if (!isRelay() && !duty.isStandIn()) return;
      // A stand-in tells its relays, which pass the orders on.
      const told = isRelay() ? [...zonePeers(), ...remoteRelays()] : otherRelays();
      told.forEach((member) => {
        void sendUpdate(member, []);
      });
    },
    relayShare: () => {
      const rank = ownRank();
      return rank === undefined ? 1 : (rank + 1) / relays.of(self.zone).length;
    },
    livePeers,
    recordContact,
    rateShare,
    hasLostNodes: memoizeByRevision(table.revision, () =>
      table.all().some(({ alive, state }) => !alive || state === 'left'),
    ),
    revision: table.revision,
    currentMessage: () => message([], true),
    receive: (received) => {
      const earlier = table.get(received.from.host);
      applyMessage(received);
      const differs = received.digest !== table.digest();
      const own = earlier && isToldOfEarlier(received.from, earlier) ? [earlier] : [];
      if (differs && !received.isUpdate) return message([...table.all(), ...own], false, received);
      return message(own, received.isUpdate, received);
    },
    leave: async () => {
      await changeSelf({ state: 'left' });
      await registration.deregister();
    },
    close: () => {
      isClosed = true;
      duty.close();
      registration.close();
    },
  };
}
