import type { AccountId } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerRequest } from './LedgerRequest';

/**
 * Authoritative token buckets of the accounts whose ledger this node keeps.
 *
 * @public
 */
export interface AccountLedger {
  /**
   * Grants tokens in the order of the requests. If there are none, the request waits for a short time. If it would have
   * to wait longer, it is answered at once without tokens.
   */
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
}

/** Dependencies and settings of a ledger. */
export interface AccountLedgerOptions {
  readonly allowanceOf: (account: AccountId) => AccountAllowance | undefined;
  /** Whether no other node can have granted tokens before, so that buckets may start full. */
  readonly isFirstStart: boolean;
}
