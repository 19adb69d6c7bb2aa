import type { Clock, HostId } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';
import { mergeRecords } from '../member/mergeRecords';
import { membershipTimes } from '../node/membershipTimes';
import { rosterDigest } from '../table/rosterDigest';
import type { ContactDirectory } from './ContactDirectory';
import { rankContacts } from './rankContacts';

/** Consecutive unanswered requests after which a contact no longer counts as live. */
const FAILURE_LIMIT = 2;

interface Entry {
  readonly record: MemberRecord;
  readonly confirmedAt: number;
  readonly failures: number;
}

/**
 * Creates an empty directory of zone contacts.
 *
 * @param clock - Source of time.
 * @returns The directory.
 * @internal
 */
export function createContactDirectory(clock: Clock): ContactDirectory {
  const entries = new Map<HostId, Entry>();

  const isLive = ({ confirmedAt, failures }: Entry): boolean =>
    failures < FAILURE_LIMIT &&
    clock.monotonicMilliseconds() - confirmedAt <= membershipTimes.contactTimeToLive;

  const removeExpired = (): void => {
    const oldest = clock.monotonicMilliseconds() - membershipTimes.contactRetention;
    entries.forEach((entry, host) => {
      if (entry.confirmedAt < oldest) entries.delete(host);
    });
  };

  const live = (): readonly MemberRecord[] =>
    [...entries.values()].filter(isLive).map(({ record }) => record);

  return {
    confirm: (records) => {
      const confirmedAt = clock.monotonicMilliseconds();
      records.forEach((received) => {
        const record = mergeRecords(entries.get(received.host)?.record, received);
        entries.set(record.host, { record, confirmedAt, failures: 0 });
      });
    },
    confirmLive: () => {
      const confirmedAt = clock.monotonicMilliseconds();
      entries.forEach((entry, host) => {
        if (isLive(entry)) entries.set(host, { ...entry, confirmedAt });
      });
    },
    recordFailure: (host) => {
      const entry = entries.get(host);
      if (entry) entries.set(host, { ...entry, failures: entry.failures + 1 });
      removeExpired();
    },
    retain: (records) => {
      const hosts = new Set(records.map(({ host }) => host));
      // A zone without any contact in the list is skipped: after a store outage its contacts may not have written yet.
      const zones = new Set(records.map(({ zone }) => zone));
      entries.forEach((entry, host) => {
        if (hosts.has(host) || !zones.has(entry.record.zone)) return;
        entries.set(host, { ...entry, failures: FAILURE_LIMIT });
      });
    },
    remove: (host) => {
      entries.delete(host);
    },
    live,
    liveOf: (zone) => rankContacts(live().filter((record) => record.zone === zone)),
    all: () => [...entries.values()].map(({ record }) => record),
    // Contacts may know different versions of each other's records, which must not change the digest.
    digest: () => rosterDigest(live().map((record) => ({ ...record, version: 0 }))),
  };
}
