import type { HostId, ServiceId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { Subject, type Observable } from 'rxjs';

import { memoizeByRevision } from './memoizeByRevision';

/**
 * Member records of all known nodes.
 *
 * @internal
 */
export interface MemberTable {
  readonly get: (host: HostId) => Member | undefined;
  readonly all: () => readonly Member[];
  readonly ofService: (service: ServiceId) => readonly Member[];
  readonly changes: (service: ServiceId) => Observable<readonly Member[]>;
  /** @returns Whether the record was newer than the known one and has replaced it. */
  readonly merge: (member: Member) => boolean;
  readonly setAlive: (host: HostId, alive: boolean) => void;
  readonly remove: (host: HostId) => void;
  /** @returns A number that increases with each change of the table. */
  readonly revision: () => number;
  /** @returns A short string that is equal for equal tables. */
  readonly digest: () => string;
}

function isNewer(member: Member, known: Member): boolean {
  if (member.incarnation !== known.incarnation) return member.incarnation > known.incarnation;
  return member.version > known.version;
}

/**
 * Creates a member table. It keeps the record with the highest incarnation and version of each host.
 *
 * @returns An empty table.
 * @internal
 */
export function createMemberTable(): MemberTable {
  const members = new Map<HostId, Member>();
  const subjects = new Map<ServiceId, Subject<readonly Member[]>>();
  let revision = 0;

  const ofService = (service: ServiceId): readonly Member[] =>
    [...members.values()].filter((member) => member.service === service);

  const emit = (service: ServiceId | undefined): void => {
    if (service !== undefined) subjects.get(service)?.next(ofService(service));
  };

  const put = (member: Member): void => {
    const previous = members.get(member.host)?.service;
    members.set(member.host, member);
    revision += 1;
    emit(member.service);
    if (previous !== member.service) emit(previous);
  };

  const computeDigest = (): string => {
    let sum = 0;
    members.forEach((member) => {
      sum = (sum + Math.imul(member.incarnation % 1_000_003, 31) + member.version * 7919) % 2 ** 40;
    });
    return `${members.size}:${sum}`;
  };

  return {
    get: (host) => members.get(host),
    all: () => [...members.values()],
    ofService,
    changes: (service) => {
      const subject = subjects.get(service) ?? new Subject<readonly Member[]>();
      subjects.set(service, subject);
      return subject;
    },
    merge: (member) => {
      const known = members.get(member.host);
      if (known && !isNewer(member, known)) return false;
      put({ ...member, alive: true });
      return true;
    },
    setAlive: (host, alive) => {
      const known = members.get(host);
      if (known && known.alive !== alive) put({ ...known, alive });
    },
    remove: (host) => {
      const known = members.get(host);
      members.delete(host);
      revision += 1;
      emit(known?.service);
    },
    revision: () => revision,
    digest: memoizeByRevision(() => revision, computeDigest),
  };
}
