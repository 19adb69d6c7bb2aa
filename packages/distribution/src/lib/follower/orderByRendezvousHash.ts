import { createHash } from 'node:crypto';

import type { HostId } from '@buckthornslip/common';

import type { PeerContact } from '../peers/PeerContact';

/**
 * @param host - This node's host.
 * @param contacts - Contacts that are equally near.
 * @returns The contacts in an order of this host's own, so that the nodes of a zone spread over its contacts.
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
