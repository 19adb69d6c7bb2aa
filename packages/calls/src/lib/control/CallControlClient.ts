import type { IdempotencyPeers } from '../idempotency/IdempotencyPeers';
import type { RetryPeers } from '../retry/RetryPeers';
import type { Suspect } from '../suspects/Suspect';

/**
 * Client of the call control service of other nodes.
 *
 * @public
 */
export interface CallControlClient extends RetryPeers, IdempotencyPeers {
  /** Sends suspects to one node without waiting for the result. */
  readonly shareSuspects: (controlAddress: string, suspects: readonly Suspect[]) => void;
}
