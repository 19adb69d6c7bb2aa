import type { AttemptId } from '@buckthornslip/common';

import type { ClaimAnswer } from './ClaimAnswer';
import type { ClaimRequest } from './ClaimRequest';
import type { IdempotencyReplica } from './IdempotencyReplica';
import type { ReplicaMessage } from './ReplicaMessage';

/**
 * This node's part in the home of one service: home, replica or neither.
 *
 * @public
 */
export interface IdempotencyRegistry {
  readonly claim: (request: ClaimRequest) => Promise<ClaimAnswer>;

  /** @returns Whether this node is the home and the key is free of the attempt. */
  readonly release: (scopedKey: string, attemptId: AttemptId) => Promise<boolean>;

  /** @returns Whether the message was accepted. */
  readonly acceptReplica: (message: ReplicaMessage) => boolean;

  /**
   * Copies all bindings to a node before it is listed as a candidate.
   *
   * @returns Whether the node has all bindings and gets each new one.
   */
  readonly prepareCandidate: (candidate: IdempotencyReplica) => Promise<boolean>;
}
