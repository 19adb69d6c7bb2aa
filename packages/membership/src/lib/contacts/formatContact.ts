import type { MemberRecord } from '../member/MemberRecord';

/**
 * @param record - Record of a contact.
 * @returns The store value of the contact.
 * @internal
 */
export function formatContact(record: MemberRecord): string {
  const { host, incarnation, region, zone, peerAddress, controlAddress } = record;
  return JSON.stringify({ host, incarnation, region, zone, peerAddress, controlAddress });
}
