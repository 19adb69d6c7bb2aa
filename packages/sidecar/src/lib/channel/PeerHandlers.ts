import type { Suspect } from '@buckthornslip/calls';
import type { LedgerGrant, LedgerRequest } from '@buckthornslip/limits';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import type { InterruptedCall } from '../serving/InterruptedCall';
import type { ExchangeFields } from './PeerLink';

/**
 * Handlers of the messages of other nodes.
 *
 * @internal
 */
export interface PeerHandlers {
  readonly serve: (call: CallAttempt) => Promise<AttemptResult>;
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
  readonly exchange: (fields: ExchangeFields) => ExchangeFields;
  readonly mergeSuspects: (suspects: readonly Suspect[]) => void;
  /** Handles calls that the other node had sent to an earlier process of this node. */
  readonly recordInterrupted: (calls: readonly InterruptedCall[]) => void;
}
