import type { AccountId, Priority } from '@buckthornslip/common';

/**
 * A call that wants to run at the upstream.
 *
 * @public
 */
export interface AdmissionRequest {
  /** Undefined for calls on open routes. */
  readonly account: AccountId | undefined;
  readonly priority: Priority;
  /** Hops between the root call and this call. */
  readonly depth: number;
  /** Time left before the deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Whether the call must run while no other call runs. */
  readonly isolated: boolean;
  /** What the call does, such as its route; calls of one kind take similar times. */
  readonly requestClass?: string;
}
