import type { HostId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { TrackedMember } from '../members/TrackedMember';
import type { Locality } from './Locality';

/**
 * Members of one service as a router sees them. Times are monotonic, in milliseconds.
 *
 * @internal
 */
export interface MemberTable {
  readonly localities: () => readonly Locality[];
  readonly find: (host: HostId) => TrackedMember | undefined;
  readonly readyCount: () => number;
  readonly ejectedCount: (now: number) => number;
  /** @returns Members besides the given one that may be chosen now. */
  readonly otherAvailableMembers: (tracked: TrackedMember) => readonly TrackedMember[];
  /** Sorts the members into localities again after an ejection begins or ends. */
  readonly rebuild: (now: number) => void;
  /** Takes over a new list of members. */
  readonly replace: (members: readonly Member[], now: number) => void;
}
