import type { Clock, HostId, ServiceId } from '@buckthornslip/common';
import { BehaviorSubject } from 'rxjs';

import { hasSameVisibleFields } from '../member/hasSameVisibleFields';
import type { Member } from '../member/Member';
import type { MemberRecord } from '../member/MemberRecord';
import { mergeRecords } from '../member/mergeRecords';
import { toMember } from '../member/toMember';
import type { MemberTable } from './MemberTable';
import type { RecordChange } from './RecordChange';
import { rosterDigest } from './rosterDigest';

interface Entry {
  readonly record: MemberRecord;
  readonly sequence: number;
  readonly changedAt: number;
}

/**
 * Creates the table of a service's members.
 *
 * @param service - The service. Records of hosts that moved to another service are kept, but are not
 *   members.
 * @param clock - Source of time.
 * @returns An empty table.
 * @internal
 */
export function createMemberTable(service: ServiceId, clock: Clock): MemberTable {
  const entries = new Map<HostId, Entry>();
  const members = new BehaviorSubject<readonly Member[]>([]);
  let sequence = 0;
  let digest: string | undefined;

  const records = (): readonly MemberRecord[] => [...entries.values()].map((entry) => entry.record);

  const publish = (): void => {
    const isMember = (record: MemberRecord): boolean =>
      record.service === service && record.state !== 'left';
    members.next(records().filter(isMember).map(toMember));
  };

  const mergeOne = (received: MemberRecord): RecordChange | undefined => {
    const earlier = entries.get(received.host)?.record;
    const current = mergeRecords(earlier, received);
    if (current === earlier) return undefined;
    sequence += 1;
    digest = undefined;
    const changedAt = clock.monotonicMilliseconds();
    entries.set(received.host, { record: current, sequence, changedAt });
    return { earlier, current };
  };

  return {
    service,
    merge: (received) => {
      const changes = received.map(mergeOne).filter((change) => change !== undefined);
      if (changes.some(({ earlier, current }) => !hasSameVisibleFields(earlier, current)))
        publish();
      return changes;
    },
    get: (host) => entries.get(host)?.record,
    records,
    members: () => members.value,
    changes: members.asObservable(),
    sequence: () => sequence,
    changedSince: (from) =>
      [...entries.values()].filter((entry) => entry.sequence > from).map(({ record }) => record),
    digest: () => {
      digest ??= rosterDigest(records());
      return digest;
    },
    remove: (isObsolete) => {
      const obsolete = [...entries.values()].filter((entry) =>
        isObsolete(entry.record, entry.changedAt),
      );
      if (obsolete.length === 0) return;
      obsolete.forEach(({ record }) => entries.delete(record.host));
      digest = undefined;
      publish();
    },
  };
}
