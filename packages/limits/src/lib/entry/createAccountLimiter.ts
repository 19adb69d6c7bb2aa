import { failure } from '@buckthornslip/common';
import type { AccountId } from '@buckthornslip/common';

import type { AccountLimiter } from './AccountLimiter';
import type { AccountLimiterOptions } from './AccountLimiterOptions';
import { createSingleAccountLimiter } from './createSingleAccountLimiter';
import type { SingleAccountLimiter } from './createSingleAccountLimiter';
import { createTokenServerClient } from './createTokenServerClient';

/** Retry delay for accounts that are not in this node's manifest, which may contain them by then, in milliseconds. */
const UNKNOWN_ACCOUNT_RETRY_MILLISECONDS = 1_000;

/**
 * Creates the account limiter of an entry node. It caches granted tokens, prefetches them in
 * proportion to demand, and requests more from the token server before it refuses a call.
 *
 * @param options - Dependencies and settings.
 * @returns A limiter without tokens.
 * @public
 */
export function createAccountLimiter(options: AccountLimiterOptions): AccountLimiter {
  const client = createTokenServerClient(options);
  const limiters = new Map<AccountId, SingleAccountLimiter>();

  const limiterOf = (account: AccountId): SingleAccountLimiter => {
    const limiter = limiters.get(account) ?? createSingleAccountLimiter(options, account, client);
    limiters.set(account, limiter);
    return limiter;
  };

  return {
    spend: (account, signal) =>
      options.accounts().has(account)
        ? limiterOf(account).spend(signal)
        : Promise.resolve(
            failure({
              kind: 'limit-unavailable',
              retryAfterMilliseconds: UNKNOWN_ACCOUNT_RETRY_MILLISECONDS,
            }),
          ),
  };
}
