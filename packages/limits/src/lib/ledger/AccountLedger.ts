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
  readonly grant: (request: LedgerRequest) => LedgerGrant;
}

/** What a ledger works with. */
export interface AccountLedgerOptions {
  readonly allowanceOf: (account: AccountId) => AccountAllowance | undefined;
  /** Whether no earlier node can have granted tokens, so that buckets may start full. */
  readonly isFirstStart: boolean;
}
