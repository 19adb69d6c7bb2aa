import type { AccountId } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import { createDemandRate } from './createDemandRate';
import { createFallbackBucket } from './createFallbackBucket';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerLimitRefusal } from './LedgerRateLimiter';
import type { LedgerRateLimiterOptions } from './LedgerRateLimiterOptions';

/** Time for which tokens are fetched ahead of demand, in milliseconds; longer than a round trip between regions. */
const PREFETCH_MILLISECONDS = 200;

/** Life of unspent tokens, in milliseconds. What is granted early adds to what the fleet spends in a window. */
const TOKEN_LIFETIME_MILLISECONDS = 400;

/** After a ledger has refused, this node refuses by itself for at most this time, in milliseconds. */
const MAX_BACKOFF_MILLISECONDS = 100;

/** Time after which a caller may come back while the ledger cannot be reached, in milliseconds. */
const UNREACHABLE_RETRY_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

type Waiter = (refusal: LedgerLimitRefusal | undefined) => void;

/** Lets requests of one account in at one node. */
export interface AccountTokenCache {
  /** @returns Undefined if a token was at hand; otherwise the decision, when it is made. */
  readonly acquire: () => Promise<LedgerLimitRefusal | undefined> | undefined;
}

/**
 * Creates the turnstile of one account.
 *
 * @param account - The account.
 * @param options - Clock, ledgers and allowances.
 * @returns A turnstile without tokens.
 * @internal
 */
export function createAccountTokenCache(
  account: AccountId,
  options: LedgerRateLimiterOptions,
): AccountTokenCache {
  const { allowanceOf, clock, ledgers, nodeCount } = options;
  const now = clock.monotonicMilliseconds;
  const demand = createDemandRate(clock);
  const fallbackBucket = createFallbackBucket(clock, nodeCount);
  const waiters: Waiter[] = [];
  let tokens = 0;
  let tokensExpireMilliseconds = 0;
  let backoffUntilMilliseconds = 0;
  let isRequesting = false;

  const takeToken = (): boolean => {
    if (tokens < 1 || now() >= tokensExpireMilliseconds) return false;
    tokens -= 1;
    return true;
  };

  const admitWhile = (take: () => boolean): void => {
    while (waiters.length > 0 && take()) waiters.shift()?.(undefined);
  };

  const refuseAll = (refusal: LedgerLimitRefusal): void => {
    waiters.splice(0).forEach((settle) => settle(refusal));
  };

  const useFallbackBucket = ({ ratePerSecond }: AccountAllowance): void => {
    admitWhile(() => fallbackBucket.take(ratePerSecond));
    refuseAll({
      reason: 'limit-unavailable',
      retryAfterMilliseconds: UNREACHABLE_RETRY_MILLISECONDS,
    });
  };

  const useGrant = (grant: LedgerGrant, sentMilliseconds: number): void => {
    tokens = now() < tokensExpireMilliseconds ? tokens + grant.tokens : grant.tokens;
    tokensExpireMilliseconds = sentMilliseconds + TOKEN_LIFETIME_MILLISECONDS;
    admitWhile(takeToken);
    if (grant.tokens > 0) return;
    const { retryAfterMilliseconds } = grant;
    backoffUntilMilliseconds =
      now() + Math.min(MAX_BACKOFF_MILLISECONDS, retryAfterMilliseconds / 2);
    refuseAll({ reason: 'account-rate', retryAfterMilliseconds });
  };

  const ahead = (): number =>
    Math.floor((demand.perSecond() * PREFETCH_MILLISECONDS) / MILLISECONDS_PER_SECOND);

  /** One question at a time; it asks for all waiting requests together. */
  const requestTokens = async (): Promise<void> => {
    isRequesting = true;
    while (waiters.length > 0) {
      const sentMilliseconds = now();
      const needed = waiters.length;
      const answer = await ledgers.request({ account, needed, ahead: ahead() });
      const allowance = allowanceOf(account);
      if (!allowance) refuseAll({ reason: 'account-rate', retryAfterMilliseconds: 0 });
      else if (answer.ok) useGrant(answer.value, sentMilliseconds);
      else useFallbackBucket(allowance);
    }
    isRequesting = false;
  };

  return {
    acquire: () => {
      demand.record();
      if (takeToken()) return undefined;
      const backoffMilliseconds = backoffUntilMilliseconds - now();
      if (backoffMilliseconds > 0) {
        const retryAfterMilliseconds = backoffMilliseconds;
        return Promise.resolve({ reason: 'account-rate', retryAfterMilliseconds });
      }
      return new Promise((settle) => {
        waiters.push(settle);
        if (!isRequesting) void requestTokens();
      });
    },
  };
}
