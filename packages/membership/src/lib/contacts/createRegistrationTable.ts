import type { Clock, HostId } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';
import { mergeRecords } from '../member/mergeRecords';
import { membershipTimes } from '../node/membershipTimes';
import type { RegistrationTable } from './RegistrationTable';

interface Entry {
  readonly record: MemberRecord;
  readonly registeredAt: number;
}

/**
 * Creates an empty table of registered nodes.
 *
 * @param clock - Source of time.
 * @returns The table.
 * @internal
 */
export function createRegistrationTable(clock: Clock): RegistrationTable {
  const entries = new Map<HostId, Entry>();
  let expiryCheckedAt = clock.monotonicMilliseconds();

  const isCurrent = ({ registeredAt }: Entry): boolean =>
    clock.monotonicMilliseconds() - registeredAt <= membershipTimes.registrationTimeToLive;

  /** Removes expired registrations once per time to live, rather than on each request. */
  const removeExpired = (): void => {
    const now = clock.monotonicMilliseconds();
    if (now - expiryCheckedAt < membershipTimes.registrationTimeToLive) return;
    expiryCheckedAt = now;
    entries.forEach((entry, host) => {
      if (!isCurrent(entry)) entries.delete(host);
    });
  };

  const current = (): readonly MemberRecord[] =>
    [...entries.values()].filter(isCurrent).map(({ record }) => record);

  return {
    put: (received) => {
      removeExpired();
      const known = entries.get(received.host)?.record;
      const record = mergeRecords(known, received);
      // A delayed message of an earlier incarnation renews nothing.
      if (record.incarnation !== received.incarnation) return;
      entries.set(record.host, { record, registeredAt: clock.monotonicMilliseconds() });
    },
    renew: (host, incarnation, version) => {
      removeExpired();
      const entry = entries.get(host);
      const isKnown = entry?.record.incarnation === incarnation && entry.record.version === version;
      if (!entry || !isKnown) return false;
      entries.set(host, { ...entry, registeredAt: clock.monotonicMilliseconds() });
      return true;
    },
    get: (host) => {
      const entry = entries.get(host);
      return entry && isCurrent(entry) ? entry.record : undefined;
    },
    records: current,
  };
}
