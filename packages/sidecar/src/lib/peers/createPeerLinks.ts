import type { PeerLink } from '../channel/PeerLink';
import type { PeerLinkOptions } from '../channel/PeerLinkOptions';
import { createPeerLink } from '../channel/createPeerLink';

/** Links to other nodes, by address. */
export interface PeerLinks {
  readonly get: (address: string) => PeerLink;
  /** @returns Whether the connection of any link is open. */
  readonly hasOpen: () => boolean;
  readonly close: () => void;
}

/**
 * @param options - Dependencies and settings that all links share.
 * @returns A set of links, each of which is created on first use.
 * @internal
 */
export function createPeerLinks(options: Omit<PeerLinkOptions, 'address'>): PeerLinks {
  const links = new Map<string, PeerLink>();
  return {
    get: (address) => {
      const known = links.get(address);
      if (known) return known;
      const created = createPeerLink({ ...options, address });
      links.set(address, created);
      return created;
    },
    hasOpen: () => [...links.values()].some((link) => link.isOpen()),
    close: () => links.forEach((link) => link.close()),
  };
}
