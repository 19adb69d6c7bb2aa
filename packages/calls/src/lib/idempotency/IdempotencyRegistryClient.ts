import type { AttemptId, Result, ServiceId } from '@buckthornslip/common';

import type { Claim } from './Claim';
import type { ClaimRefusal } from './ClaimRefusal';
import type { ClaimRequest } from './ClaimRequest';

/**
 * An entry node's client of the idempotency registries.
 *
 * @public
 */
export interface IdempotencyRegistryClient {
  readonly claim: (
    request: ClaimRequest,
    timeoutMilliseconds: number,
  ) => Promise<Result<Claim, ClaimRefusal>>;

  /** Releases a key whose attempt is proven never to run. */
  readonly release: (service: ServiceId, scopedKey: string, attemptId: AttemptId) => Promise<void>;
}
