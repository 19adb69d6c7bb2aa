import type { AccountId, Clock } from '@buckthornslip/common';

import type { AccountLedger, AccountLedgerOptions } from './AccountLedger';

const MILLISECONDS_PER_SECOND = 1_000;

/** Time after a first start of the whole system in which no ledger can have moved, in milliseconds. */
const FIRST_START_MILLISECONDS = 15_000;

interface Bucket {
  tokens: number;
  updatedMilliseconds: number;
}

/**
 * Creates the ledger of accounts. A bucket that an earlier node may have spent starts empty: the account then gets its
 * rate at once and its burst as it refills, and never more than both.
 *
 * @param clock - Source of monotonic time.
 * @param options - Allowances, and whether this is the first start of the whole system.
 * @returns A ledger without buckets.
 * @public
 */
export function createAccountLedger(clock: Clock, options: AccountLedgerOptions): AccountLedger {
  const buckets = new Map<AccountId, Bucket>();
  const startedMilliseconds = clock.monotonicMilliseconds();

  const bucketOf = (account: AccountId, burst: number): Bucket => {
    const known = buckets.get(account);
    if (known) return known;
    const updatedMilliseconds = clock.monotonicMilliseconds();
    const isEarly = updatedMilliseconds - startedMilliseconds < FIRST_START_MILLISECONDS;
    const created = { tokens: options.isFirstStart && isEarly ? burst : 0, updatedMilliseconds };
    buckets.set(account, created);
    return created;
  };

  return {
    grant: ({ account, wanted }) => {
      const allowance = options.allowanceOf(account);
      if (!allowance) return { tokens: 0, retryAfterMilliseconds: MILLISECONDS_PER_SECOND };
      const { burst, ratePerSecond } = allowance;
      if (ratePerSecond === 0) return { tokens: wanted, retryAfterMilliseconds: 0 };
      const bucket = bucketOf(account, burst);
      const now = clock.monotonicMilliseconds();
      const refill = ((now - bucket.updatedMilliseconds) / MILLISECONDS_PER_SECOND) * ratePerSecond;
      // A bucket holds at least one token, or an account with a small burst would never get any.
      bucket.tokens = Math.min(Math.max(1, burst), bucket.tokens + refill);
      bucket.updatedMilliseconds = now;
      const tokens = Math.min(wanted, Math.floor(bucket.tokens));
      bucket.tokens -= tokens;
      const missing = 1 - bucket.tokens;
      return {
        tokens,
        retryAfterMilliseconds:
          tokens > 0 ? 0 : (missing / ratePerSecond) * MILLISECONDS_PER_SECOND,
      };
    },
  };
}
