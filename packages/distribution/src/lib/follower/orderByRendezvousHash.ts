import { createHash } from 'node:crypto';

import type { HostId } from '@buckthornslip/common';

import type { PeerContact } from '../peers/PeerContact';

/**
 * @param host - This node's host.
 * @param contacts - Contacts of equal preference.
 * @returns The contacts in the order of their rendezvous hash for this host, so that nodes are distributed over them.
 * @internal
 */
export function orderByRendezvousHash(
  host: HostId,
  contacts: readonly PeerContact[],
): readonly PeerContact[] {
  const ranked = contacts.map((contact) => ({
    contact,
    rank: createHash('sha256').update(`${host} ${contact.host}`).digest('hex'),
  }));
  ranked.sort((left, right) => (left.rank < right.rank ? -1 : 1));
  return ranked.map(({ contact }) => contact);
}
