import type { AccountId, Clock } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { AccountLedger, AccountLedgerOptions } from './AccountLedger';
import type { AccountLine } from './createAccountLine';
import { createAccountLine } from './createAccountLine';
import { createGradualAllowance } from './createGradualAllowance';
import { createTokenBucket } from './createTokenBucket';

/** Time after a first start of the whole system in which no ledger can have moved, in milliseconds. */
const FIRST_START_MILLISECONDS = 15_000;

/** Time after which an account that is not known may be, in milliseconds. */
const UNKNOWN_MILLISECONDS = 1_000;

const NOTHING: AccountAllowance = { ratePerSecond: 0, burst: 0 };

/**
 * Creates the ledger of accounts. A bucket that an earlier node may have spent starts empty: the account then gets its
 * rate at once and its burst as it refills, and never more than both.
 *
 * @param clock - Source of time.
 * @param options - Allowances, and whether this is the first start of the whole system.
 * @returns A ledger without buckets.
 * @public
 */
export function createAccountLedger(clock: Clock, options: AccountLedgerOptions): AccountLedger {
  const lines = new Map<AccountId, AccountLine>();
  const startedMilliseconds = clock.monotonicMilliseconds();

  const lineOf = (account: AccountId): AccountLine => {
    const known = lines.get(account);
    if (known) return known;
    const allowance = createGradualAllowance(clock, () => options.allowanceOf(account) ?? NOTHING);
    const age = clock.monotonicMilliseconds() - startedMilliseconds;
    const isUntouched = options.isFirstStart && age < FIRST_START_MILLISECONDS;
    const bucket = createTokenBucket(clock, allowance, isUntouched ? allowance().burst : 0);
    const created = createAccountLine(clock, bucket, allowance);
    lines.set(account, created);
    return created;
  };

  return {
    grant: (request) => {
      const allowance = options.allowanceOf(request.account);
      if (!allowance) {
        return Promise.resolve({ tokens: 0, retryAfterMilliseconds: UNKNOWN_MILLISECONDS });
      }
      if (allowance.ratePerSecond === 0) {
        return Promise.resolve({ tokens: request.needed, retryAfterMilliseconds: 0 });
      }
      return lineOf(request.account).grant(request);
    },
  };
}
