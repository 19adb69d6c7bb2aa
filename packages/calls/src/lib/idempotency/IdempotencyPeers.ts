import type { AttemptId, ServiceId } from '@buckthornslip/common';

import type { ClaimAnswer } from './ClaimAnswer';
import type { ClaimRequest } from './ClaimRequest';
import type { IdempotencyReplica } from './IdempotencyReplica';
import type { ReplicaMessage } from './ReplicaMessage';

/**
 * Client of the idempotency registries on other nodes. The methods return undefined if there was no answer.
 *
 * @public
 */
export interface IdempotencyPeers {
  readonly claim: (
    controlAddress: string,
    request: ClaimRequest,
    timeoutMilliseconds: number,
  ) => Promise<ClaimAnswer | undefined>;

  /** @returns Whether the node was the holder and the key is no longer bound to the attempt. */
  readonly release: (
    controlAddress: string,
    service: ServiceId,
    scopedKey: string,
    attemptId: AttemptId,
  ) => Promise<boolean | undefined>;

  /** @returns Whether the replica accepted the message. */
  readonly replicate: (
    replica: IdempotencyReplica,
    message: ReplicaMessage,
  ) => Promise<boolean | undefined>;
}
