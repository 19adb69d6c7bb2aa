import type { RootCallId, ServiceId } from '@buckthornslip/common';

import type { CallContext } from '../context/CallContext';
import type { RetryDecision } from './RetryDecision';
import type { RetryRequest } from './RetryRequest';

/**
 * Limits retries across the whole call tree of a root call, and to each service.
 *
 * @public
 */
export interface RetryPolicy {
  /** Opens the budget of a root call that enters at this node. */
  readonly openRoot: (rootCallId: RootCallId, budget: number) => void;

  /** Closes the budget of a root call that has ended. */
  readonly closeRoot: (rootCallId: RootCallId) => void;

  /** Counts a first attempt, which adds to the retry budget of the service. */
  readonly countFirstAttempt: (service: ServiceId) => void;

  /** Decides on a retry. If it is allowed, it has been charged to the budgets of the root call and the service. */
  readonly decide: (request: RetryRequest) => Promise<RetryDecision>;

  /**
   * Charges the root call's budget if an upstream repeats a nested call of the same parent call.
   *
   * @returns Whether the call may be made.
   */
  readonly chargeRepeat: (context: CallContext, fingerprint: string) => Promise<boolean>;
}
