import type { AccountId } from '@buckthornslip/common';

/** Why a request of an account is not let in now. */
export interface LedgerLimitRefusal {
  readonly reason: 'account-rate' | 'limit-unavailable';
  /** Time after which the account may have a token again, in milliseconds. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Lets requests of accounts in at an entry node.
 *
 * @public
 */
export interface LedgerRateLimiter {
  /**
   * @returns Undefined if a token was at hand; otherwise a promise of undefined once there is a token, or of the refusal.
   */
  readonly acquire: (account: AccountId) => Promise<LedgerLimitRefusal | undefined> | undefined;
}
