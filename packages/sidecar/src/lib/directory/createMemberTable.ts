import type { HostId, ServiceId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { Subject, type Observable } from 'rxjs';

import { isNewerRecord } from './isNewerRecord';

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

/** Contribution of one record to the digest. */
function digestPart({ incarnation, version }: Member): number {
  return (incarnation % 1_000_003) * 31 + version * 7919;
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
  /** Sum over all records, so that the digest need not be computed again after each change. */
  let digestSum = 0;

  const ofService = (service: ServiceId): readonly Member[] =>
    [...members.values()].filter((member) => member.service === service);

  const emit = (service: ServiceId | undefined): void => {
    if (service !== undefined) subjects.get(service)?.next(ofService(service));
  };

  const put = (member: Member): void => {
    const known = members.get(member.host);
    const previous = known?.service;
    digestSum += digestPart(member) - (known ? digestPart(known) : 0);
    members.set(member.host, member);
    revision += 1;
    emit(member.service);
    if (previous !== member.service) emit(previous);
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
      if (known && !isNewerRecord(member, known)) return false;
      put({ ...member, alive: true });
      return true;
    },
    setAlive: (host, alive) => {
      const known = members.get(host);
      if (known && known.alive !== alive) put({ ...known, alive });
    },
    remove: (host) => {
      const known = members.get(host);
      if (known) digestSum -= digestPart(known);
      members.delete(host);
      revision += 1;
      emit(known?.service);
    },
    revision: () => revision,
    digest: () => `${members.size}:${digestSum}`,
  };
}
