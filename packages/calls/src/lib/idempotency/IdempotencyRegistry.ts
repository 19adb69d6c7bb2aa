import type { AttemptId } from '@buckthornslip/common';

import type { ClaimAnswer } from './ClaimAnswer';
import type { ClaimRequest } from './ClaimRequest';
import type { IdempotencyReplica } from './IdempotencyReplica';
import type { ReplicaMessage } from './ReplicaMessage';

/**
 * The idempotency registry of one service on this node, which may be the holder, a replica or neither.
 *
 * @public
 */
export interface IdempotencyRegistry {
  readonly claim: (request: ClaimRequest) => Promise<ClaimAnswer>;

  /** @returns Whether this node is the holder and the key is no longer bound to the attempt. */
  readonly release: (scopedKey: string, attemptId: AttemptId) => Promise<boolean>;

  /** @returns Whether the message was accepted. */
  readonly acceptReplica: (message: ReplicaMessage) => boolean;

  /**
   * Copies all bindings to a node before it is listed as a candidate.
   *
   * @returns Whether the node has all bindings and receives each new one.
   */
  readonly prepareCandidate: (candidate: IdempotencyReplica) => Promise<boolean>;
}
