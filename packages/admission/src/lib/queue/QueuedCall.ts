import type { Result } from '@buckthornslip/common';

import type { AdmissionRefusal } from '../controller/AdmissionRefusal';
import type { AdmissionPermit } from '../controller/AdmissionPermit';
import type { ServiceTimeEstimate } from '../service/createServiceTimeEstimate';

/**
 * A call that waits for a slot.
 *
 * @internal
 */
export interface QueuedCall {
  readonly rank: number;
  /** Account id; empty for calls on open routes, which share one fair share. */
  readonly accountKey: string;
  readonly depth: number;
  readonly isolated: boolean;
  readonly arrivedMilliseconds: number;
  /** Latest time at which the call can start and still meet its deadline. */
  readonly latestStartMilliseconds: number;
  /** Time at which the call leaves the queue if it has not started. */
  readonly expiresMilliseconds: number;
  /** Ends the wait. It is called once. */
  readonly settle: (result: Result<AdmissionPermit, AdmissionRefusal>) => void;
  /** Time that calls of this kind take. */
  readonly serviceTime: ServiceTimeEstimate;
}
