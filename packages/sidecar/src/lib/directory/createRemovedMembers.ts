import type { HostId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import { isNewerRecord } from './isNewerRecord';

/** Removed nodes that are remembered. */
const REMEMBERED_REMOVALS = 512;

/**
 * Nodes that were removed from the member table, so that older tables of other nodes do not restore them.
 *
 * @internal
 */
export interface RemovedMembers {
  readonly add: (member: Member) => void;
  /** Forgets the removal of a node that has come back. */
  readonly forget: (host: HostId) => void;
  /** @returns Whether a record is no newer than the one with which its node was removed. */
  readonly includes: (member: Member) => boolean;
}

/**
 * @returns An empty collection.
 * @internal
 */
export function createRemovedMembers(): RemovedMembers {
  const removed = new Map<HostId, Member>();
  return {
    add: (member) => {
      removed.set(member.host, member);
      const oldest = removed.keys().next().value;
      if (removed.size > REMEMBERED_REMOVALS && oldest !== undefined) removed.delete(oldest);
    },
    forget: (host) => removed.delete(host),
    includes: (member) => {
      const known = removed.get(member.host);
      return known !== undefined && !isNewerRecord(member, known);
    },
  };
}
