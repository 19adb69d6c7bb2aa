import type { HostId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { Candidate } from '../candidates/Candidate';
import type { Level } from './Level';

/**
 * Members of one service as a router sees them. Times are monotonic, in milliseconds.
 *
 * @internal
 */
export interface CandidateTable {
  readonly levels: () => readonly Level[];
  readonly find: (host: HostId) => Candidate | undefined;
  readonly readyCount: () => number;
  readonly ejectedCount: (now: number) => number;
  /** @returns Members besides the given one that may be chosen now. */
  readonly othersInUse: (candidate: Candidate) => readonly Candidate[];
  /** Sorts the members into levels again after an ejection begins or ends. */
  readonly rebuild: (now: number) => void;
  /** Takes over a new list of members. */
  readonly replace: (members: readonly Member[], now: number) => void;
}
