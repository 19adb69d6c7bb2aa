import type { LedgerGrant, LedgerRequest } from '@buckthornslip/limits';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import type { ExchangeFields } from './PeerLink';

/**
 * What this node does for other nodes.
 *
 * @internal
 */
export interface PeerHandlers {
  readonly serve: (call: CallAttempt) => Promise<AttemptResult>;
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
  readonly exchange: (fields: ExchangeFields) => ExchangeFields;
}
