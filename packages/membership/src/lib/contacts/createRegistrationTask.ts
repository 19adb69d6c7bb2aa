import { membershipCounts } from '../node/membershipCounts';
import { membershipTimes } from '../node/membershipTimes';
import { sampleItems } from '../node/sampleItems';
import type { ContactContext } from './ContactContext';
import type { ContactRole } from './ContactRole';
import { createContactInviter } from './createContactInviter';
import { createRegistrationClient } from './createRegistrationClient';

/** A node to register with; seeds are known by address only. */
interface Target {
  readonly address: string;
  readonly record: ReturnType<ContactContext['directory']['all']>[number] | undefined;
}

/**
 * Creates the task that keeps this node registered. A contact registers with all other contacts, so that
 * they know of it while the store is down. Other nodes register with the contacts of their zone, or with
 * contacts of other zones or the seeds if none of their own zone is live.
 *
 * @param context - Dependencies of the zone contacts.
 * @param role - This node's role as a contact.
 * @returns Functions that run the task, and wake it before its period ends.
 * @internal
 */
export function createRegistrationTask(
  context: ContactContext,
  role: ContactRole,
): { readonly run: () => Promise<void>; readonly wake: () => void } {
  const { clock, directory, logger, random, seeds, self, signal } = context;
  const register = createRegistrationClient(context, role.isContact);
  const invite = createContactInviter(context);
  let sleeping = new AbortController();
  signal.addEventListener('abort', () => sleeping.abort(), { once: true });
  let hasReported = false;

  const toTarget = (record: Target['record'] & object): Target => ({
    address: record.controlAddress,
    record,
  });

  const known = (): readonly Target[] =>
    directory
      .all()
      .filter(({ host }) => host !== self.current().host)
      .map(toTarget);

  const fallbackTargets = (): readonly Target[] => {
    const selfAddress = self.current().controlAddress;
    const fromSettings = seeds.filter((address) => address !== selfAddress);
    return [...known(), ...fromSettings.map((address) => ({ address, record: undefined }))];
  };

  const targets = (): readonly Target[] => {
    if (role.isContact()) return known().length > 0 ? known() : fallbackTargets();
    const { host, zone } = self.current();
    const ownZone = directory.liveOf(zone).filter((record) => record.host !== host);
    if (ownZone.length > 0) {
      return ownZone.slice(0, membershipCounts.contactsPerZone).map(toTarget);
    }
    const otherZones = sampleItems(directory.live(), membershipCounts.otherZoneContacts, random);
    return otherZones.length > 0 ? otherZones.map(toTarget) : fallbackTargets();
  };

  const registerWith = async ({ address, record }: Target): Promise<boolean> => {
    const response = await register(address);
    if (!response) {
      if (record) directory.recordFailure(record.host);
      return false;
    }
    if (!record) return response.contact;
    if (response.contact) directory.confirm([record]);
    else directory.remove(record.host);
    return response.contact && record.zone === self.current().zone;
  };

  const reportUnreachable = (isReached: boolean): void => {
    if (!isReached && !hasReported)
      logger.log('contactsUnreachable', { zone: self.current().zone });
    hasReported = !isReached;
  };

  const step = async (): Promise<void> => {
    if (role.isContact()) await role.maintain();
    const answers = await Promise.all(targets().map(registerWith));
    if (role.isContact()) {
      await invite();
      return;
    }
    const isReached = answers.includes(true);
    if (!isReached) await role.assumeIfNeeded();
    reportUnreachable(isReached || role.isContact());
  };

  const sleep = async (milliseconds: number): Promise<void> => {
    sleeping = new AbortController();
    await clock.sleep(Math.max(0, milliseconds), sleeping.signal);
  };

  const run = async (): Promise<void> => {
    await role.assumeIfNeeded();
    while (!signal.aborted) {
      const startedAt = clock.monotonicMilliseconds();
      const hadContact = directory.liveOf(self.current().zone).length > 0;
      await step();
      // If the zone's first contact was just found, or this node just became it, registers again immediately.
      const isFound = !hadContact && directory.liveOf(self.current().zone).length > 0;
      const elapsed = clock.monotonicMilliseconds() - startedAt;
      if (!isFound) await sleep(membershipTimes.registrationPeriod - elapsed);
    }
  };

  return { run, wake: () => sleeping.abort() };
}
