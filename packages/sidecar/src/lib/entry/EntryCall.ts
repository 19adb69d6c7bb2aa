import type { PolicyRoute } from '@buckthornslip/config';

import type { CallAttempt } from '../serving/CallAttempt';

/**
 * A request that has been let in and is on its way to a service.
 *
 * @internal
 */
export interface EntryCall {
  readonly route: PolicyRoute;
  /** The call as a serving node gets it. */
  readonly call: CallAttempt;
  /** Calls that have already been finished for the call that this one serves; 0 for a call of a caller. */
  readonly finishedSiblings: number;
}
