import type { Clock, HostId, Incarnation, RandomSource } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import type { Store } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';
import { filter, firstValueFrom, timeout, catchError, of } from 'rxjs';

import { createMemberTable } from './createMemberTable';
import { createNodeRegistration } from './createNodeRegistration';
import type { DirectoryMessage } from './DirectoryMessage';
import type { DirectoryPeers } from './DirectoryPeers';
import { directoryTimes } from './directoryTimes';
import type { MemberDirectory } from './MemberDirectory';
import { parseMember } from './parseMember';
import { memoizeByRevision } from './memoizeByRevision';

/** Dependencies and settings of the directory. */
export interface MemberDirectoryOptions {
  /** Initial record of this node. */
  readonly self: Member;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly peers: DirectoryPeers;
  readonly logger: EventLogger;
  /** @returns Revision of this node's current policy; 0 if there is none. */
  readonly policyRevision: () => number;
  /** Called when another node has a newer policy. */
  readonly onNewerPolicy: (peerAddress: string, message: DirectoryMessage) => void;
}

const RECORD_PREFIX = 'buckthornslip/nodes/';

/** Consecutive failed exchanges after which a node is considered dead. A single one may be lost with its connection. */
const FAILURES_UNTIL_DEAD = 2;

function decodeMember(value: Uint8Array): Member | undefined {
  try {
    return parseMember(JSON.parse(Buffer.from(value).toString('utf8')));
  } catch {
    return undefined;
  }
}

/**
 * Creates the member directory. Each node writes one record under a lease, then reads the others and announces itself
 * to them. As each node writes before it reads, at least one of any two nodes sees the other. Later changes are sent
 * directly from node to node, so that upstream changes cause no store calls.
 *
 * @param options - Dependencies, such as this node's record, the store and the client of the other nodes.
 * @returns The directory, not yet started.
 * @public
 */
export function createMemberDirectory(options: MemberDirectoryOptions): MemberDirectory {
  const { clock, logger, onNewerPolicy, peers, policyRevision, random, store } = options;
  const table = createMemberTable();
  const failures = new Map<HostId, number>();
  const lastSeen = new Map<HostId, number>();
  const probing = new Set<HostId>();
  let { self } = options;
  let isClosed = false;
  let rounds = 0;
  table.merge(self);

  const isSelf = ({ host }: Member): boolean => host === self.host;
  const others = (): Member[] => table.all().filter((member) => !isSelf(member));
  const livePeers = memoizeByRevision(table.revision, () => others().filter(({ alive }) => alive));

  const message = (withMembers: boolean): DirectoryMessage => ({
    from: self,
    digest: table.digest(),
    policyRevision: policyRevision(),
    members: withMembers ? table.all().filter(({ alive }) => alive) : [],
  });

  const markSeen = (member: Member): void => {
    failures.delete(member.host);
    lastSeen.set(member.host, clock.monotonicMilliseconds());
    table.setAlive(member.host, true);
  };

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

  const applyRecord = (member: Member, source: string): void => {
    if (isSelf(member)) {
      supersede(member);
      return;
    }
    const known = table.get(member.host);
    if (!table.merge(member)) return;
    lastSeen.set(member.host, clock.monotonicMilliseconds());
    if (known?.state === member.state && known.incarnation === member.incarnation) return;
    const { host, incarnation, service, state, version } = member;
    logger.log('memberChanged', { host, incarnation, service, state, version, source });
    if (known?.incarnation !== member.incarnation && source !== 'itself') void exchangeWith(member);
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
    table.setAlive(member.host, false);
  };

  const applyMessage = (received: DirectoryMessage): void => {
    applyRecord(received.from, 'itself');
    markSeen(received.from);
    received.members.forEach((member) => applyRecord(member, received.from.host));
    if (received.policyRevision > policyRevision()) {
      onNewerPolicy(received.from.peerAddress, message(false));
    }
  };

  async function exchangeWith(member: Member): Promise<boolean> {
    const answer = await peers.exchange(member.peerAddress, message(false));
    if (isClosed) return false;
    if (!answer) {
      countFailure(member);
      return false;
    }
    applyMessage(answer);
    return true;
  }

  /** @returns A promise that resolves when all live nodes have answered or failed to answer. */
  async function changeSelf(change: Partial<Member>): Promise<void> {
    self = { ...self, ...change, version: self.version + 1 };
    table.merge(self);
    await Promise.all(livePeers().map((member) => exchangeWith(member)));
  }

  const probe = async (host: HostId): Promise<void> => {
    const member = table.get(host);
    if (!member || isSelf(member) || probing.has(host)) return;
    probing.add(host);
    for (let attempts = 0; attempts < FAILURES_UNTIL_DEAD; attempts += 1) {
      if (await exchangeWith(member)) break;
    }
    probing.delete(host);
  };

  const readStore = async (): Promise<void> => {
    const listing = await store.list(RECORD_PREFIX);
    if (!listing.ok || isClosed) return;
    const hosts = new Set<HostId>();
    listing.value.entries.forEach((entry) => {
      const member = decodeMember(entry.value);
      if (!member) {
        logger.log('recordRejected', { key: entry.key, revision: entry.revision });
        return;
      }
      hosts.add(member.host);
      applyRecord(member, 'store');
    });
    const removeBefore = clock.monotonicMilliseconds() - directoryTimes.removalTimeout;
    others()
      .filter(({ host }) => !hosts.has(host) && (lastSeen.get(host) ?? 0) < removeBefore)
      .forEach(({ host }) => {
        table.remove(host);
        logger.log('memberForgotten', { host, storeRevision: listing.value.revision });
      });
  };

  const registration = createNodeRegistration({
    clock,
    store,
    logger,
    key: `${RECORD_PREFIX}${self.host}`,
    value: () => Buffer.from(JSON.stringify(self)),
    onWritten: () => {
      void readStore();
    },
  });

  const pickRandom = (members: readonly Member[]): Member | undefined =>
    members[random.nextInteger(Math.max(1, members.length))];

  const exchangePeriodically = async (): Promise<void> => {
    while (!isClosed) {
      await clock.sleep(directoryTimes.exchangeInterval * (0.75 + random.next() / 2));
      rounds += 1;
      const live = pickRandom(livePeers());
      if (live) void exchangeWith(live);
      // A node that restarted during a store outage knows no other node, so the others contact it, even if it had left
      // gracefully before.
      const dead = pickRandom(others().filter(({ alive, state }) => !alive || state === 'left'));
      if (dead) void exchangeWith(dead);
      if (
        rounds % Math.round(directoryTimes.storeReadInterval / directoryTimes.exchangeInterval) ===
        0
      ) {
        void readStore();
      }
    }
  };

  const isUsable = (members: readonly Member[]): boolean =>
    members.some(({ alive, state }) => alive && state === 'ready');

  return {
    self: () => self,
    members: table.ofService,
    changes: table.changes,
    waitForMembers: (service, timeoutMilliseconds) => {
      const known = table.ofService(service);
      if (isUsable(known)) return Promise.resolve(known);
      return firstValueFrom(
        table.changes(service).pipe(
          filter(isUsable),
          timeout(timeoutMilliseconds),
          catchError(() => of(table.ofService(service))),
        ),
      );
    },
    suspect: (host) => {
      void probe(host);
    },
    start: () => {
      registration.start();
      void exchangePeriodically();
    },
    update: (change) => {
      void changeSelf(change);
    },
    livePeers,
    revision: table.revision,
    currentMessage: () => message(false),
    receive: (received) => {
      applyMessage(received);
      return message(received.digest !== table.digest());
    },
    leave: async () => {
      await changeSelf({ state: 'left' });
      await registration.deregister();
    },
    close: () => {
      isClosed = true;
      registration.close();
    },
  };
}
