import type { Result } from '@buckthornslip/common';

import type { AdmissionRefusal } from '../controller/AdmissionRefusal';
import type { AdmissionPermit } from '../controller/AdmissionPermit';
import type { ServiceTimeEstimate } from '../service/createServiceTimeEstimate';

/**
 * A call waiting for a slot.
 *
 * @internal
 */
export interface QueuedCall {
  readonly rank: number;
  /** Account id; empty for calls on open routes, which share a single flow. */
  readonly accountKey: string;
  readonly depth: number;
  readonly isolated: boolean;
  readonly arrivedMilliseconds: number;
  /** Latest time at which the call can start and still meet its deadline. */
  readonly latestStartMilliseconds: number;
  /** Time at which the call leaves the queue if it has not started. */
  readonly expiresMilliseconds: number;
  /** Delivers the result of the admission; called once. */
  readonly settle: (result: Result<AdmissionPermit, AdmissionRefusal>) => void;
  /** Service time estimate of the call's request class. */
  readonly serviceTime: ServiceTimeEstimate;
  /** Expected service time on an average upstream, in milliseconds; 0 if it is not known. */
  readonly costMilliseconds: number;
}
