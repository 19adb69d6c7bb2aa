import type { AccountId } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import { createDemandRate } from './createDemandRate';
import { createFallbackBucket } from './createFallbackBucket';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerLimitRefusal } from './LedgerRateLimiter';
import type { LedgerRateLimiterOptions } from './LedgerRateLimiterOptions';

/** Prefetch horizon in milliseconds; longer than a round trip between regions. */
const PREFETCH_MILLISECONDS = 200;

/**
 * Lifetime of unspent tokens in milliseconds. Tokens granted early add to what the fleet can spend
 * within a window.
 */
const TOKEN_LIFETIME_MILLISECONDS = 400;

/**
 * Maximum time for which this node refuses requests without asking after the ledger had no tokens,
 * in milliseconds.
 */
const MAXIMUM_BACKOFF_MILLISECONDS = 100;

/** Retry delay for callers while the ledger is unreachable, in milliseconds. */
const UNREACHABLE_RETRY_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

type Waiter = (refusal: LedgerLimitRefusal | undefined) => void;

/** Cached tokens of one account at one entry node. */
export interface AccountTokenCache {
  /** @returns Undefined if a cached token was spent. Otherwise a promise of the decision. */
  readonly acquire: () => Promise<LedgerLimitRefusal | undefined> | undefined;
}

/**
 * Creates the token cache of one account.
 *
 * @param account - The account.
 * @param options - Dependencies.
 * @returns An empty cache.
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
  /** Wall-clock time at which the tokens were requested; it passes while the host is suspended as well. */
  let tokensRequestedWallMilliseconds = 0;
  let backoffUntilMilliseconds = 0;
  let isRequesting = false;

  /** A step of the wall clock in either direction may be a suspension, so the tokens count as expired. */
  const areTokensValid = (): boolean => {
    const wallAge = clock.wallMilliseconds() - tokensRequestedWallMilliseconds;
    return now() < tokensExpireMilliseconds && Math.abs(wallAge) < TOKEN_LIFETIME_MILLISECONDS;
  };

  const takeToken = (): boolean => {
    if (tokens < 1 || !areTokensValid()) return false;
    tokens -= 1;
    return true;
  };

  const admitWhile = (take: () => boolean): void => {
    while (waiters.length > 0 && take()) waiters.shift()?.(undefined);
  };

  const refuseAll = (refusal: LedgerLimitRefusal): void => {
    waiters.splice(0).forEach((resolve) => resolve(refusal));
  };

  const useFallbackBucket = ({ ratePerSecond }: AccountAllowance): void => {
    admitWhile(() => fallbackBucket.take(ratePerSecond));
    refuseAll({
      reason: 'limit-unavailable',
      retryAfterMilliseconds: UNREACHABLE_RETRY_MILLISECONDS,
    });
  };

  const useGrant = (grant: LedgerGrant, sentMilliseconds: number, sentWall: number): void => {
    tokens = areTokensValid() ? tokens + grant.tokens : grant.tokens;
    tokensExpireMilliseconds = sentMilliseconds + TOKEN_LIFETIME_MILLISECONDS;
    tokensRequestedWallMilliseconds = sentWall;
    admitWhile(takeToken);
    if (grant.tokens > 0) return;
    const { retryAfterMilliseconds } = grant;
    backoffUntilMilliseconds =
      now() + Math.min(MAXIMUM_BACKOFF_MILLISECONDS, retryAfterMilliseconds / 2);
    refuseAll({ reason: 'account-rate', retryAfterMilliseconds });
  };

  const prefetchTarget = (): number =>
    Math.floor((demand.perSecond() * PREFETCH_MILLISECONDS) / MILLISECONDS_PER_SECOND);

  /** Sends one request to the ledger at a time, on behalf of all waiting requests. */
  const requestTokens = async (): Promise<void> => {
    isRequesting = true;
    while (waiters.length > 0) {
      const sentMilliseconds = now();
      const sentWall = clock.wallMilliseconds();
      const needed = waiters.length;
      const answer = await ledgers.request({ account, needed, ahead: prefetchTarget() });
      const allowance = allowanceOf(account);
      if (!allowance) refuseAll({ reason: 'account-rate', retryAfterMilliseconds: 0 });
      else if (answer.ok) useGrant(answer.value, sentMilliseconds, sentWall);
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
      return new Promise((resolve) => {
        waiters.push(resolve);
        if (!isRequesting) void requestTokens();
      });
    },
  };
}
