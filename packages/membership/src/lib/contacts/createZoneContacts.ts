import type { HostId, Incarnation, ServiceId } from '@buckthornslip/common';

import { decodeRecord } from '../member/decodeRecord';
import { encodeRecord } from '../member/encodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { toMember } from '../member/toMember';
import { membershipCounts } from '../node/membershipCounts';
import { membershipTimes } from '../node/membershipTimes';
import type { NodeContext } from '../node/NodeContext';
import { sampleItems } from '../node/sampleItems';
import type { ContactContext } from './ContactContext';
import { createContactDirectory } from './createContactDirectory';
import { createContactRole } from './createContactRole';
import { createRegistrationTable } from './createRegistrationTable';
import { createRegistrationTask } from './createRegistrationTask';
import { encodeRegistrationInfo } from './encodeRegistrationInfo';
import { groupBy } from './groupBy';
import type { ZoneContacts } from './ZoneContacts';

/** Options of {@link createZoneContacts}. */
type ContactOptions = Pick<
  ContactContext,
  'store' | 'seeds' | 'registrationInfo' | 'onRegistrationInfo'
>;

/**
 * Creates this node's registration with the zone contacts, and its service as one of them.
 *
 * @param node - Dependencies of the node.
 * @param options - Store, seeds and callbacks for the configuration.
 * @returns The zone contacts; `run` starts the registration task.
 * @internal
 */
export function createZoneContacts(node: NodeContext, options: ContactOptions): ZoneContacts {
  const { clock, peers, random, self } = node;
  const directory = createContactDirectory(clock);
  const registrations = createRegistrationTable(clock);
  const context: ContactContext = { ...node, ...options, directory, registrations };
  const role = createContactRole(context);
  const task = createRegistrationTask(context, role);

  /** The nodes that a contact knows include itself. */
  const registered = (): readonly MemberRecord[] =>
    role.isContact() ? [self.current(), ...registrations.records()] : [];

  const registeredOf = (service: ServiceId): readonly MemberRecord[] =>
    registered().filter((record) => record.service === service && record.state !== 'left');

  const askContact = async (
    contact: MemberRecord,
    service: ServiceId,
    limit: number,
  ): Promise<readonly MemberRecord[]> => {
    const request = { service, limit };
    const { findTimeout } = membershipTimes;
    const { controlAddress } = contact;
    const result = await peers.call(controlAddress, 'findService', request, findTimeout);
    return result.ok ? result.value.records.map(decodeRecord) : [];
  };

  /** One contact of each zone, because a service may start in several zones at the same time. */
  const contactsToAsk = (): readonly MemberRecord[] => {
    const { host } = self.current();
    const others = directory.live().filter((record) => record.host !== host);
    const zones = groupBy(others, ({ zone }) => zone);
    return [...zones.values()].flatMap((contacts) => sampleItems(contacts, 1, random));
  };

  const readinessRank = ({ state }: MemberRecord): number => (state === 'ready' ? 0 : 1);

  /** While the store is down, a node that receives a registration without being a contact is a seed. */
  const mustAssumeRole = (): boolean =>
    role.isStoreDown() && directory.liveOf(self.current().zone).length === 0;

  return {
    isContact: role.isContact,
    registeredNodes: () => {
      const { zone } = self.current();
      return registered()
        .filter((record) => record.zone === zone)
        .map(toMember);
    },
    byRegion: () => groupBy(directory.live().map(toMember), ({ region }) => region),
    byZone: () => groupBy(directory.live().map(toMember), ({ zone }) => zone),
    findHost: (host) =>
      registrations.get(host) ?? directory.all().find((record) => record.host === host),
    findMembers: async (service, limit) => {
      const answers = await Promise.all(
        contactsToAsk().map((contact) => askContact(contact, service, limit)),
      );
      return [...answers.flat(), ...registeredOf(service)];
    },
    answerRegister: async (request) => {
      if (!role.isContact() && mustAssumeRole()) await role.assume();
      const host = request.host as HostId;
      const isContact = role.isContact();
      if (isContact && request.record) registrations.put(decodeRecord(request.record));
      const incarnation = request.incarnation as Incarnation;
      const known = isContact && registrations.renew(host, incarnation, request.version);
      const record = registrations.get(host);
      if (request.contact && record && known) directory.confirm([record]);
      else if (isContact && !request.contact) directory.remove(host);
      const isSame = request.contact || request.contactsDigest === directory.digest();
      return {
        contact: isContact,
        known,
        contacts: isSame ? [] : directory.live().map(encodeRecord),
        information: encodeRegistrationInfo(options.registrationInfo()),
      };
    },
    answerFindService: (request) => {
      const found = registeredOf(request.service as ServiceId);
      const limit = Math.min(request.limit, membershipCounts.recordsPerLookup);
      const sampled = [...sampleItems(found, found.length, random)].sort(
        (left, right) => readinessRank(left) - readinessRank(right),
      );
      return { contact: role.isContact(), records: sampled.slice(0, limit).map(encodeRecord) };
    },
    answerInviteContact: async (request) => {
      if (request.host !== self.current().host) return { accepted: false };
      await role.assume();
      return { accepted: role.isContact() };
    },
    wake: task.wake,
    run: task.run,
  };
}
