import type { Result } from '@buckthornslip/common';

import type { LedgerGrant } from './LedgerGrant';
import type { LedgerRequest } from './LedgerRequest';

/** The ledger did not answer in time. */
export interface LedgerUnreachable {
  readonly kind: 'ledger-unreachable';
}

/**
 * Client of the ledgers of all accounts.
 *
 * @public
 */
export interface LedgerPeers {
  readonly request: (request: LedgerRequest) => Promise<Result<LedgerGrant, LedgerUnreachable>>;
}
