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
 * Creates the role of a zone contact, which this node may or may not have. The role is soft state: a
 * surplus contact does no harm, so the store decides only in the long run who keeps it.
 *
 * @param context - Shared parts of the contacts.
 * @returns The role, not taken at first.
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
    // Nodes tell each other the contacts that they know, so that one that stepped down would be passed on for ever.
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
    // Contacts of other zones that took the role at the same moment were not yet in the list that this node read.
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
    // A node that leaves still answers for a while, and must not seem to be a contact then.
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
