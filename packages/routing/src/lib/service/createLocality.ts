import { priorityRank } from '@buckthornslip/common';

import type { TrackedMember } from '../members/TrackedMember';
import { memberLimit } from '../members/memberLimit';
import type { Locality } from './Locality';

/**
 * @param members - Members that may be chosen.
 * @returns A locality with their totals, which each member then refers to.
 * @internal
 */
export function createLocality(members: readonly TrackedMember[]): Locality {
  const sum = (value: (tracked: TrackedMember) => number): number =>
    members.reduce((total, tracked) => total + value(tracked), 0);
  const locality: Locality = {
    members,
    load: sum((tracked) => tracked.countedLoad),
    loadAt: Math.max(0, ...members.map((tracked) => tracked.loadAt)),
    limit: sum(memberLimit),
    cutOffUntil: Object.keys(priorityRank).map(() => 0),
  };
  members.forEach((tracked) => Object.assign(tracked, { locality }));
  return locality;
}
