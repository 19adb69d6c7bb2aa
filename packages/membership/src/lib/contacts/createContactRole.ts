import type { MemberRecord } from '../member/MemberRecord';
import { membershipCounts } from '../node/membershipCounts';
import { membershipTimes } from '../node/membershipTimes';
import type { ContactContext } from './ContactContext';
import { CONTACT_PREFIX, contactKey } from './contactKey';
import type { ContactRole } from './ContactRole';
import { formatContact } from './formatContact';
import { parseContact } from './parseContact';
import { rankContacts } from './rankContacts';

/**
 * Creates the role of a zone contact, which this node may assume. The role is soft state: surplus contacts
 * are harmless, so it is enough that the contact list in the store eventually decides which nodes keep
 * the role.
 *
 * @param context - Dependencies of the zone contacts.
 * @returns The role, initially not assumed.
 * @internal
 */
export function createContactRole(context: ContactContext): ContactRole {
  const { clock, directory, logger, random, self, signal, store } = context;
  const { host, zone } = self.current();
  let hasRole = false;
  let leaseId: string | undefined;
  let isStoreDown = store === undefined;
  let renewedAt = -Infinity;
  let listedAt = -Infinity;

  const writePresence = async (): Promise<void> => {
    if (!store) return;
    const value = formatContact(self.current());
    const result = await store.putUnderLease(
      contactKey(zone, host),
      value,
      membershipTimes.contactLeaseTimeToLive,
    );
    isStoreDown = !result.ok;
    leaseId = result.ok ? result.value : undefined;
    renewedAt = clock.monotonicMilliseconds();
  };

  const renewPresence = async (): Promise<void> => {
    if (!store || !leaseId) return writePresence();
    const result = await store.keepAlive(leaseId);
    renewedAt = clock.monotonicMilliseconds();
    isStoreDown = !result.ok && result.error.kind === 'unavailable';
    if (result.ok || isStoreDown) return undefined;
    return writePresence();
  };

  const readContacts = async (): Promise<readonly MemberRecord[] | undefined> => {
    if (!store) return undefined;
    listedAt = clock.monotonicMilliseconds();
    const result = await store.list(CONTACT_PREFIX);
    isStoreDown = !result.ok;
    if (!result.ok) return undefined;
    const records = result.value.map(parseContact).filter((record) => record !== undefined);
    directory.confirm(records.filter((record) => record.host !== host));
    // Nodes exchange the contacts that they know, so a contact that stepped down would otherwise circulate forever.
    directory.retain(hasRole ? [...records, self.current()] : records);
    return rankContacts(records.filter((record) => record.zone === zone));
  };

  const hasVacancy = (contacts: readonly MemberRecord[] | undefined): boolean => {
    const others = contacts?.filter((record) => record.host !== host);
    return others !== undefined && others.length < membershipCounts.contactsPerZone;
  };

  const stepDown = (): void => {
    hasRole = false;
    leaseId = undefined;
    directory.remove(host);
    logger.log('contactLeft', { zone });
  };

  const assume = async (): Promise<void> => {
    if (hasRole || signal.aborted) return;
    hasRole = true;
    directory.confirm([self.current()]);
    logger.log('contactTaken', { zone });
    await writePresence();
    // Contacts of other zones that assumed the role at the same time were not yet in the list that this node read.
    clock.setTimer(membershipTimes.contactRelistDelay, () => {
      void readContacts();
    });
  };

  const stepDownIfSurplus = async (): Promise<void> => {
    const contacts = await readContacts();
    const rank = contacts?.findIndex((record) => record.host === host) ?? -1;
    if (rank >= membershipCounts.contactsPerZone) stepDown();
  };

  return {
    // A node that is leaving still answers for a while, but must not appear to be a contact.
    isContact: () => hasRole && !signal.aborted,
    isStoreDown: () => isStoreDown,
    assume,
    assumeIfNeeded: async () => {
      if (hasRole || !hasVacancy(await readContacts())) return;
      await clock.sleep(random.nextInteger(membershipTimes.maximumContactRoleDelay), signal);
      if (hasVacancy(await readContacts())) await assume();
    },
    maintain: async () => {
      const now = clock.monotonicMilliseconds();
      directory.confirm([self.current()]);
      if (now - renewedAt >= membershipTimes.contactKeepAlivePeriod || !leaseId) {
        await renewPresence();
      }
      if (now - listedAt >= membershipTimes.contactListPeriod) await stepDownIfSurplus();
    },
  };
}
