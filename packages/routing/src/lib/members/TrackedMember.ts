import type { Member } from '@buckthornslip/membership';

import type { LoadReport } from '../choice/LoadReport';
import type { LocalityTotals } from '../service/LocalityTotals';

/**
 * What a router knows of one member of a service. The fields change in place, because a new object
 * for each attempt would cost more than the choice itself.
 *
 * @internal
 */
export interface TrackedMember {
  member: Member;
  load: LoadReport | undefined;
  /** Monotonic time of the last load report, in milliseconds. */
  loadAt: number;
  /** Own attempts at this member now. */
  inFlight: number;
  /** Own attempts at this member when the last load report came. */
  inFlightAtReport: number;
  /** Sums of the locality that lists the member now; absent when it may not be chosen. */
  locality: LocalityTotals | undefined;
  /** Calls of this member that are part of the locality's sum. */
  countedLoad: number;
  /** Bytes taken from a link budget for attempts that have not ended. */
  linkBytes: number;
  /** Monotonic time at which the member became ready, in milliseconds. */
  readyAt: number;
  failures: number;
  silences: number;
  /** Consecutive failures that the upstream answered with. */
  errors: number;
  /** Moving share of such failures among its answers. */
  errorShare: number;
  ejections: number;
  /** Monotonic time at which the ejection ends, in milliseconds; 0 when not ejected. */
  ejectedUntil: number;
}
