import type { AttemptId, ServiceId } from '@buckthornslip/common';

import type { ClaimAnswer } from './ClaimAnswer';
import type { ClaimRequest } from './ClaimRequest';
import type { IdempotencyReplica } from './IdempotencyReplica';
import type { ReplicaMessage } from './ReplicaMessage';

/**
 * Reaches homes and replicas on other nodes. Undefined stands for an answer that did not come.
 *
 * @public
 */
export interface IdempotencyPeers {
  readonly claim: (
    controlAddress: string,
    request: ClaimRequest,
    timeoutMilliseconds: number,
  ) => Promise<ClaimAnswer | undefined>;

  /** @returns Whether the node was the home and has freed the key. */
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
