import type { HostId, RegionId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { TrackedMember } from '../members/TrackedMember';
import type { Locality } from './Locality';

/**
 * Tracked members of one service. Times are monotonic, in milliseconds.
 *
 * @internal
 */
export interface MemberTable {
  readonly localities: () => readonly Locality[];
  readonly find: (host: HostId) => TrackedMember | undefined;
  readonly readyCount: () => number;
  /** @returns Whether a ready member, ejected or not, is in one of the regions. */
  readonly hasReadyIn: (regions: ReadonlySet<RegionId>) => boolean;
  readonly ejectedCount: (now: number) => number;
  /** @returns The other members that may be chosen now. */
  readonly otherAvailableMembers: (tracked: TrackedMember) => readonly TrackedMember[];
  /** Regroups the members into localities, after an ejection begins or ends. */
  readonly rebuild: (now: number) => void;
  /** Applies a new member list. */
  readonly replace: (members: readonly Member[], now: number) => void;
}
