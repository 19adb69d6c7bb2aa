import type { AccountId } from '@buckthornslip/common';

import type { AccountTokenCache } from './createAccountTokenCache';
import { createAccountTokenCache } from './createAccountTokenCache';
import type { LedgerRateLimiter } from './LedgerRateLimiter';
import type { LedgerRateLimiterOptions } from './LedgerRateLimiterOptions';

/**
 * Creates a rate limiter. It spends tokens that the accounts' ledgers have granted, prefetches tokens in proportion to
 * demand, and asks the ledger before it refuses. While a ledger is unreachable, a small fraction of
 * the rate is admitted.
 *
 * @param options - Dependencies.
 * @returns The rate limiter.
 * @public
 */
export function createLedgerRateLimiter(options: LedgerRateLimiterOptions): LedgerRateLimiter {
  const caches = new Map<AccountId, AccountTokenCache>();

  const cacheOf = (account: AccountId): AccountTokenCache => {
    const known = caches.get(account);
    if (known) return known;
    const created = createAccountTokenCache(account, options);
    caches.set(account, created);
    return created;
  };

  return {
    acquire: (account) => {
      const allowance = options.allowanceOf(account);
      if (!allowance || allowance.ratePerSecond === 0) return undefined;
      return cacheOf(account).acquire();
    },
  };
}
