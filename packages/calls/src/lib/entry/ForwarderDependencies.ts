import type { NodeIdentity } from '@buckthornslip/common';
import type { ConfigurationView } from '@buckthornslip/distribution';
import type { Membership } from '@buckthornslip/membership';
import type { Router } from '@buckthornslip/routing';

import type { ContextSigner } from '../context/ContextSigner';
import type { CallPathDependencies } from '../http/CallPathDependencies';
import type { IdempotencyRegistryClient } from '../idempotency/IdempotencyRegistryClient';
import type { RetryPolicy } from '../retry/RetryPolicy';
import type { ServingNode } from '../serving/ServingNode';

/**
 * Dependencies of the call forwarder.
 *
 * @public
 */
export interface ForwarderDependencies extends CallPathDependencies {
  readonly identity: NodeIdentity;
  readonly configuration: ConfigurationView;
  readonly idempotency: IdempotencyRegistryClient;
  readonly membership: Membership;
  readonly retryPolicy: RetryPolicy;
  readonly router: Router;
  readonly serving: ServingNode;
  readonly signer: ContextSigner;
}
