import type { Member } from '@buckthornslip/membership';

import type { LoadReport } from '../choice/LoadReport';
import type { LocalityTotals } from '../service/LocalityTotals';

/**
 * A member of a service with the load and the failures that a router has seen of it. Fields are updated in place,
 * because allocating a new object for each attempt would cost more than the choice itself.
 *
 * @internal
 */
export interface TrackedMember {
  member: Member;
  load: LoadReport | undefined;
  /** Monotonic time of the last load report, in milliseconds. */
  loadAt: number;
  /** Attempts of this node that are in flight at the member. */
  inFlight: number;
  /** Value of `inFlight` when the last load report arrived. */
  inFlightAtReport: number;
  /** Sum of the expected service times of the attempts in flight, in milliseconds. */
  workInFlight: number;
  /** Value of `workInFlight` when the last load report arrived. */
  workInFlightAtReport: number;
  /** Totals of the locality that contains the member; undefined while it may not be chosen. */
  locality: LocalityTotals | undefined;
  /** Calls of this member that are included in the locality's total load. */
  countedLoad: number;
  /** Bytes taken from a link budget for attempts in flight. */
  linkBytes: number;
  /** Monotonic time at which the member became ready, in milliseconds. */
  readyAt: number;
  failures: number;
  /** Consecutive attempts that the member left unanswered. */
  timeouts: number;
  /** Consecutive answers of the upstream that were errors. */
  errors: number;
  /** Exponential moving average of the share of errors among its answers. */
  errorShare: number;
  ejections: number;
  /** Monotonic time at which the ejection ends, in milliseconds; 0 when not ejected. */
  ejectedUntil: number;
}
