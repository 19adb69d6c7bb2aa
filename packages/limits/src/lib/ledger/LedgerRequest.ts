import type { AccountId } from '@buckthornslip/common';

/**
 * An entry node asks the account's ledger for tokens.
 *
 * @public
 */
export interface LedgerRequest {
  readonly account: AccountId;
  /** Tokens for requests that wait now; at least one. */
  readonly needed: number;
  /** Tokens to have at hand besides, if the account is well below its limit. */
  readonly ahead: number;
}
