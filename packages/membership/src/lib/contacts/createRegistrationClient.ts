import { decodeRecord } from '../member/decodeRecord';
import { encodeRecord } from '../member/encodeRecord';
import { membershipTimes } from '../node/membershipTimes';
import type { MembershipResponse } from '../peers/MembershipMethod';
import type { ContactContext } from './ContactContext';
import { decodeRegistrationInfo } from './decodeRegistrationInfo';

/**
 * Creates the function that registers this node with another one. The full record is sent only if the
 * contact does not have it, because in a large zone a contact receives several hundred registrations per
 * second.
 *
 * @param context - Dependencies of the zone contacts.
 * @param isContact - Whether this node is a contact.
 * @returns The function; it returns undefined if the other node does not answer.
 * @internal
 */
export function createRegistrationClient(
  context: ContactContext,
  isContact: () => boolean,
): (address: string) => Promise<MembershipResponse<'register'> | undefined> {
  const { clock, directory, peers, self } = context;

  const send = async (
    address: string,
    isFull: boolean,
  ): Promise<MembershipResponse<'register'> | undefined> => {
    const record = self.current();
    const { host, incarnation, version } = record;
    const sentAt = clock.monotonicMilliseconds();
    const request = {
      host,
      incarnation,
      version,
      record: isFull ? encodeRecord(record) : undefined,
      contact: isContact(),
      contactsDigest: directory.digest(),
    };
    const { registrationTimeout } = membershipTimes;
    const result = await peers.call(address, 'register', request, registrationTimeout);
    if (!result.ok) return undefined;
    const { information } = result.value;
    const roundTrip = clock.monotonicMilliseconds() - sentAt;
    if (information) context.onRegistrationInfo(decodeRegistrationInfo(information, roundTrip));
    return result.value;
  };

  const updateDirectory = (response: MembershipResponse<'register'>): void => {
    const contacts = response.contacts.map(decodeRecord);
    if (contacts.length > 0) {
      directory.confirm(contacts);
      if (response.contact && !isContact()) directory.retain(contacts);
    }
    // A contact that sends no list knows the same contacts as this node.
    else if (response.contact && !isContact()) directory.confirmLive();
  };

  return async (address) => {
    const first = await send(address, false);
    if (first) updateDirectory(first);
    if (!first || first.known || !first.contact) return first;
    return send(address, true);
  };
}
