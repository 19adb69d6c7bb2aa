import type { AccountId } from '@buckthornslip/common';

/** Refusal of a request by the rate limit of its account. */
export interface LedgerLimitRefusal {
  readonly reason: 'account-rate' | 'limit-unavailable';
  /** Time after which a token may be available again, in milliseconds. */
  readonly retryAfterMilliseconds: number;
}

/**
 * Rate limiter of an entry node that spends tokens granted by the accounts' ledgers.
 *
 * @public
 */
export interface LedgerRateLimiter {
  /**
   * Acquires one token of the account.
   *
   * @returns Undefined if a cached token was spent. Otherwise a promise of undefined once a token
   *   is granted, or of the refusal.
   */
  readonly acquire: (account: AccountId) => Promise<LedgerLimitRefusal | undefined> | undefined;
}
