import type { AccountId, Priority } from '@buckthornslip/common';

/**
 * A call that asks to run at the upstream.
 *
 * @public
 */
export interface AdmissionRequest {
  /** Undefined for calls on open routes. */
  readonly account: AccountId | undefined;
  readonly priority: Priority;
  /** Number of hops between the root call and this call. */
  readonly depth: number;
  /** Time left before the deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Whether the call must run while no other call runs. */
  readonly isolated: boolean;
  /** Class of calls with similar service times, such as the route. */
  readonly requestClass?: string;
  /** Expected service time on an average upstream, in milliseconds; 0 or undefined if it is not known. */
  readonly costMilliseconds?: number;
}
