import type { PeerContact } from '../peers/PeerContact';
import type { FollowerOptions } from './FollowerOptions';
import type { PeerGroup } from './PeerGroup';
import { orderByRendezvousHash } from './orderByRendezvousHash';

function groupBy(
  contacts: readonly PeerContact[],
  name: (contact: PeerContact) => string,
): readonly PeerGroup[] {
  const names = new Set(contacts.map(name));
  return [...names].map((group) => ({
    name: group,
    contacts: contacts.filter((contact) => name(contact) === group),
  }));
}

/**
 * Groups the contacts to poll; one contact of each group must answer. A contact polls one contact of each other region
 * and one of each zone in its own region. Any other node polls a single contact, preferably in its own zone, which
 * relays what it has learned from the others.
 *
 * @param options - The follower's options.
 * @returns Groups of contacts, each in order of preference.
 * @internal
 */
export function choosePeerGroups(options: FollowerOptions): readonly PeerGroup[] {
  const { host, region, zone } = options;
  const otherContacts = options.contacts().filter((contact) => contact.host !== host);
  const ordered = orderByRendezvousHash(host, otherContacts);
  const sameRegion = ordered.filter((contact) => contact.region === region);
  const otherRegions = ordered.filter((contact) => contact.region !== region);
  if (options.isContact()) {
    return [
      ...groupBy(sameRegion, (contact) => `zone ${contact.zone}`),
      ...groupBy(otherRegions, (contact) => `region ${contact.region}`),
    ];
  }
  const sameZone = sameRegion.filter((contact) => contact.zone === zone);
  const otherZones = sameRegion.filter((contact) => contact.zone !== zone);
  const contacts = [...sameZone, ...otherZones, ...otherRegions];
  return contacts.length === 0 ? [] : [{ name: 'any', contacts }];
}
