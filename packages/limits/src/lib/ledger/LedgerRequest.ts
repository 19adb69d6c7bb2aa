import type { AccountId } from '@buckthornslip/common';

/**
 * An entry node asks the account's ledger for tokens.
 *
 * @public
 */
export interface LedgerRequest {
  readonly account: AccountId;
  /** Tokens wanted; at least one. */
  readonly wanted: number;
}
