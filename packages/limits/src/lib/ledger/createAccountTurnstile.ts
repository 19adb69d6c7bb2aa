import type { AccountId } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import { createDemandRate } from './createDemandRate';
import { createReserve } from './createReserve';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerLimitRefusal } from './LedgerRateLimiter';
import type { LedgerRateLimiterOptions } from './LedgerRateLimiterOptions';

/** Time for which tokens are fetched ahead of demand, in milliseconds; longer than a round trip between regions. */
const PREFETCH_MILLISECONDS = 200;

/** Life of unspent tokens, in milliseconds. What is granted early adds to what the fleet spends in a window. */
const TOKEN_LIFE_MILLISECONDS = 400;

/** After a ledger has refused, this node refuses by itself for at most this time, in milliseconds. */
const LONGEST_CLOSURE_MILLISECONDS = 100;

/** Time after which a caller may come back while the ledger cannot be reached, in milliseconds. */
const UNREACHABLE_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

type Waiter = (refusal: LedgerLimitRefusal | undefined) => void;

/** Lets requests of one account in at one node. */
export interface AccountTurnstile {
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
export function createAccountTurnstile(
  account: AccountId,
  options: LedgerRateLimiterOptions,
): AccountTurnstile {
  const { allowanceOf, clock, ledgers, nodeCount } = options;
  const now = clock.monotonicMilliseconds;
  const demand = createDemandRate(clock);
  const reserve = createReserve(clock, nodeCount);
  const waiters: Waiter[] = [];
  let tokens = 0;
  let tokensExpireMilliseconds = 0;
  let closedUntilMilliseconds = 0;
  let isAsking = false;

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

  const useReserve = ({ ratePerSecond }: AccountAllowance): void => {
    admitWhile(() => reserve.take(ratePerSecond));
    refuseAll({
      reason: 'limit-unavailable',
      retryAfterMilliseconds: UNREACHABLE_MILLISECONDS,
    });
  };

  const useGrant = (grant: LedgerGrant, askedMilliseconds: number): void => {
    tokens = now() < tokensExpireMilliseconds ? tokens + grant.tokens : grant.tokens;
    tokensExpireMilliseconds = askedMilliseconds + TOKEN_LIFE_MILLISECONDS;
    admitWhile(takeToken);
    if (grant.tokens > 0) return;
    const { retryAfterMilliseconds } = grant;
    closedUntilMilliseconds =
      now() + Math.min(LONGEST_CLOSURE_MILLISECONDS, retryAfterMilliseconds / 2);
    refuseAll({ reason: 'account-rate', retryAfterMilliseconds });
  };

  const ahead = (): number =>
    Math.floor((demand.perSecond() * PREFETCH_MILLISECONDS) / MILLISECONDS_PER_SECOND);

  /** One question at a time; it asks for all waiting requests together. */
  const ask = async (): Promise<void> => {
    isAsking = true;
    while (waiters.length > 0) {
      const askedMilliseconds = now();
      const needed = waiters.length;
      const answer = await ledgers.request({ account, needed, ahead: ahead() });
      const allowance = allowanceOf(account);
      if (!allowance) refuseAll({ reason: 'account-rate', retryAfterMilliseconds: 0 });
      else if (answer.ok) useGrant(answer.value, askedMilliseconds);
      else useReserve(allowance);
    }
    isAsking = false;
  };

  return {
    acquire: () => {
      demand.note();
      if (takeToken()) return undefined;
      const closedMilliseconds = closedUntilMilliseconds - now();
      if (closedMilliseconds > 0) {
        const retryAfterMilliseconds = closedMilliseconds;
        return Promise.resolve({ reason: 'account-rate', retryAfterMilliseconds });
      }
      return new Promise((settle) => {
        waiters.push(settle);
        if (!isAsking) void ask();
      });
    },
  };
}
