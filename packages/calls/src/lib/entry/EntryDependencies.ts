import type { ConfigurationView } from '@buckthornslip/distribution';
import type { AccountLimiter } from '@buckthornslip/limits';
import type { Membership } from '@buckthornslip/membership';

import type { CallPathDependencies } from '../http/CallPathDependencies';
import type { HttpLimits } from '../http/HttpLimits';
import type { RetryPolicy } from '../retry/RetryPolicy';
import type { CallForwarder } from './CallForwarder';

/**
 * Dependencies of the listener for callers.
 *
 * @public
 */
export interface EntryDependencies extends CallPathDependencies {
  readonly configuration: ConfigurationView;
  readonly forwarder: CallForwarder;
  readonly limiter: AccountLimiter;
  readonly membership: Membership;
  readonly retryPolicy: RetryPolicy;
  readonly limits?: HttpLimits;
}
