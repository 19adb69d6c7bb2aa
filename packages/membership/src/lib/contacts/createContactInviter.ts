import type { ZoneId } from '@buckthornslip/common';

import type { MemberRecord } from '../member/MemberRecord';
import { membershipCounts } from '../node/membershipCounts';
import { membershipTimes } from '../node/membershipTimes';
import { sampleItems } from '../node/sampleItems';
import type { ContactContext } from './ContactContext';

/**
 * Creates the step in which a contact invites registered nodes to become contacts. In its own zone, only the
 * first contact invites nodes, until the zone has enough contacts. If a zone has no contact, its nodes
 * register with a contact of another zone, which invites one of them.
 *
 * @param context - Dependencies of the zone contacts.
 * @returns The step.
 * @internal
 */
export function createContactInviter(context: ContactContext): () => Promise<void> {
  const { directory, peers, random, registrations, self } = context;

  const countMissingContacts = (zone: ZoneId): number => {
    const contacts = directory.liveOf(zone);
    const selfRecord = self.current();
    if (zone !== selfRecord.zone) return contacts.length === 0 ? 1 : 0;
    const isFirst = contacts[0]?.host === selfRecord.host;
    return isFirst ? Math.max(0, membershipCounts.contactsPerZone - contacts.length) : 0;
  };

  const invite = async (record: MemberRecord): Promise<void> => {
    const request = { host: record.host };
    const { inviteTimeout } = membershipTimes;
    const { controlAddress } = record;
    const result = await peers.call(controlAddress, 'inviteContact', request, inviteTimeout);
    if (result.ok && result.value.accepted) directory.confirm([record]);
  };

  return async () => {
    const contacts = new Set(directory.live().map(({ host }) => host));
    const possible = registrations
      .records()
      .filter(({ host, state }) => !contacts.has(host) && state !== 'draining' && state !== 'left');
    const zones = new Set(possible.map(({ zone }) => zone));
    const invited = [...zones].flatMap((zone) =>
      sampleItems(
        possible.filter((record) => record.zone === zone),
        countMissingContacts(zone),
        random,
      ),
    );
    await Promise.all(invited.map(invite));
  };
}
