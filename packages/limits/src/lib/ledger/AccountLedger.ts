import type { AccountId } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerRequest } from './LedgerRequest';

/**
 * Token buckets of the accounts whose ledger this node keeps.
 *
 * @public
 */
export interface AccountLedger {
  /**
   * Grants tokens, in the order of the requests. A request that finds none waits for a short time; if it would have to
   * wait longer, it is answered at once with no tokens.
   */
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
}

/** What a ledger works with. */
export interface AccountLedgerOptions {
  readonly allowanceOf: (account: AccountId) => AccountAllowance | undefined;
  /** Whether no earlier node can have granted tokens, so that buckets may start full. */
  readonly isFirstStart: boolean;
}
