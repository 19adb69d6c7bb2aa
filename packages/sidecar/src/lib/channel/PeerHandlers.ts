import type { LedgerGrant, LedgerRequest } from '@buckthornslip/limits';

import type { ServedAnswer } from '../serving/ServedAnswer';
import type { ServingCall } from '../serving/ServingCall';
import type { ExchangeFields } from './PeerLink';

/**
 * What this node does for other nodes.
 *
 * @internal
 */
export interface PeerHandlers {
  readonly serve: (call: ServingCall) => Promise<ServedAnswer>;
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
  readonly exchange: (fields: ExchangeFields) => ExchangeFields;
}
