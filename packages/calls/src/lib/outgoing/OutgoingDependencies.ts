import type { ConfigurationView } from '@buckthornslip/distribution';
import type { Membership } from '@buckthornslip/membership';

import type { ContextSigner } from '../context/ContextSigner';
import type { CallForwarder } from '../entry/CallForwarder';
import type { CallPathDependencies } from '../http/CallPathDependencies';
import type { HttpLimits } from '../http/HttpLimits';
import type { RetryPolicy } from '../retry/RetryPolicy';
import type { UpstreamState } from '../serving/UpstreamState';

/**
 * Dependencies of the listener for the node's local upstream.
 *
 * @public
 */
export interface OutgoingDependencies extends CallPathDependencies {
  readonly configuration: ConfigurationView;
  readonly forwarder: CallForwarder;
  readonly membership: Membership;
  readonly retryPolicy: RetryPolicy;
  readonly signer: ContextSigner;
  readonly upstream: UpstreamState;
  readonly limits?: HttpLimits;
}
