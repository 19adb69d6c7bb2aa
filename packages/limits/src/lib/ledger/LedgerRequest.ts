import type { AccountId } from '@buckthornslip/common';

/**
 * Request of an entry node to the ledger of an account for tokens.
 *
 * @public
 */
export interface LedgerRequest {
  readonly account: AccountId;
  /** Number of tokens for requests that wait now; at least one. */
  readonly needed: number;
  /**
   * Number of tokens to prefetch, which are granted only if the account is well below its limit.
   */
  readonly ahead: number;
}
