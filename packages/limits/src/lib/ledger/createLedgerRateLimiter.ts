import type { AccountId } from '@buckthornslip/common';

import type { LedgerRateLimiter } from './LedgerRateLimiter';
import type { LedgerRateLimiterOptions } from './LedgerRateLimiterOptions';
import type { AccountTurnstile } from './createAccountTurnstile';
import { createAccountTurnstile } from './createAccountTurnstile';

/**
 * Creates the gate of an entry node. It spends tokens that the accounts' ledgers have granted, asks ahead in proportion to
 * demand, and asks before it refuses. While a ledger cannot be reached, a small share of the rate is let in.
 *
 * @param options - Ledgers and allowances.
 * @returns The gate.
 * @public
 */
export function createLedgerRateLimiter(options: LedgerRateLimiterOptions): LedgerRateLimiter {
  const turnstiles = new Map<AccountId, AccountTurnstile>();

  const turnstileOf = (account: AccountId): AccountTurnstile => {
    const known = turnstiles.get(account);
    if (known) return known;
    const created = createAccountTurnstile(account, options);
    turnstiles.set(account, created);
    return created;
  };

  return {
    acquire: (account) => {
      const allowance = options.allowanceOf(account);
      if (!allowance || allowance.ratePerSecond === 0) return undefined;
      return turnstileOf(account).acquire();
    },
  };
}
