import type { Outcome, ServiceId } from '@buckthornslip/common';

import type { CallContext } from '../context/CallContext';

/**
 * A request for permission to retry a call.
 *
 * @public
 */
export interface RetryRequest {
  readonly context: CallContext;
  readonly service: ServiceId;
  /** Outcome of the previous attempt. */
  readonly outcome: Outcome;
  readonly repeatable: boolean;
  /** Whether the body can be sent again. */
  readonly bodyAvailable: boolean;
  /** Number of attempts made so far for this call. */
  readonly attempts: number;
  readonly suspected: boolean;
}
