import type { AccountId } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { GateRefusal } from './AccountGate';
import type { AccountGateOptions } from './AccountGateOptions';
import { createDemandRate } from './createDemandRate';
import { createReserve } from './createReserve';
import type { LedgerGrant } from './LedgerGrant';

/** Time for which tokens are fetched ahead of demand, in milliseconds; longer than a round trip between regions. */
const PREFETCH_MILLISECONDS = 200;

/** Life of unspent tokens, in milliseconds. What is granted early adds to what the fleet spends in a window. */
const TOKEN_LIFE_MILLISECONDS = 400;

/** Longest time that a request waits for a token, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 300;

/** Shortest pause between two questions to a ledger that had no tokens, in milliseconds. */
const SHORTEST_PAUSE_MILLISECONDS = 20;

/** Time after which a caller may come back while the ledger cannot be reached, in milliseconds. */
const UNREACHABLE_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

interface Waiter {
  readonly settle: (refusal: GateRefusal | undefined) => void;
  readonly sinceMilliseconds: number;
}

/** Lets requests of one account in at one node. */
export interface AccountTurnstile {
  /** @returns Undefined if a token was at hand; otherwise the decision, when it is made. */
  readonly enter: (allowance: AccountAllowance) => Promise<GateRefusal | undefined> | undefined;
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
  options: AccountGateOptions,
): AccountTurnstile {
  const { allowanceOf, clock, ledgers, nodeCount } = options;
  const now = clock.monotonicMilliseconds;
  const demand = createDemandRate(clock);
  const reserve = createReserve(clock, nodeCount);
  const waiters: Waiter[] = [];
  let tokens = 0;
  let tokensExpireMilliseconds = 0;
  let isAsking = false;

  const takeToken = (): boolean => {
    if (tokens < 1 || now() >= tokensExpireMilliseconds) return false;
    tokens -= 1;
    return true;
  };

  const admitWhile = (take: () => boolean): void => {
    while (waiters.length > 0 && take()) waiters.shift()?.settle(undefined);
  };

  const refuseAll = (refusal: GateRefusal): void => {
    waiters.splice(0).forEach(({ settle }) => settle(refusal));
  };

  const refuseOld = (refusal: GateRefusal): void => {
    const oldest = now() - LONGEST_WAIT_MILLISECONDS;
    while ((waiters[0]?.sinceMilliseconds ?? Infinity) <= oldest) waiters.shift()?.settle(refusal);
  };

  const useReserve = ({ ratePerSecond }: AccountAllowance): void => {
    admitWhile(() => reserve.take(ratePerSecond));
    refuseAll({
      reason: 'limit-unavailable',
      retryAfterMilliseconds: UNREACHABLE_MILLISECONDS,
    });
  };

  const useGrant = async (grant: LedgerGrant, askedMilliseconds: number): Promise<void> => {
    tokens = now() < tokensExpireMilliseconds ? tokens + grant.tokens : grant.tokens;
    tokensExpireMilliseconds = askedMilliseconds + TOKEN_LIFE_MILLISECONDS;
    admitWhile(takeToken);
    if (waiters.length === 0) return;
    const pause = Math.max(SHORTEST_PAUSE_MILLISECONDS, grant.retryAfterMilliseconds);
    const refusal = { reason: 'account-rate', retryAfterMilliseconds: pause } as const;
    refuseOld(refusal);
    if (pause > LONGEST_WAIT_MILLISECONDS) refuseAll(refusal);
    if (waiters.length > 0) await clock.sleep(pause);
  };

  const wanted = (): number => {
    const ahead = (demand.perSecond() * PREFETCH_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return waiters.length + Math.floor(ahead);
  };

  /** One question at a time; it asks for all waiting requests together. */
  const ask = async (): Promise<void> => {
    isAsking = true;
    while (waiters.length > 0) {
      const askedMilliseconds = now();
      const answer = await ledgers.request({ account, wanted: wanted() });
      const allowance = allowanceOf(account);
      if (!allowance) refuseAll({ reason: 'account-rate', retryAfterMilliseconds: 0 });
      else if (answer.ok) await useGrant(answer.value, askedMilliseconds);
      else useReserve(allowance);
    }
    isAsking = false;
  };

  const mostWaiting = ({ ratePerSecond }: AccountAllowance): number =>
    Math.max(1, (ratePerSecond * LONGEST_WAIT_MILLISECONDS) / MILLISECONDS_PER_SECOND);

  return {
    enter: (allowance) => {
      demand.note();
      if (takeToken()) return undefined;
      // A longer line could not be served before its requests give up waiting.
      if (waiters.length >= mostWaiting(allowance)) {
        const retryAfterMilliseconds = LONGEST_WAIT_MILLISECONDS;
        return Promise.resolve({ reason: 'account-rate', retryAfterMilliseconds });
      }
      return new Promise((settle) => {
        waiters.push({ settle, sinceMilliseconds: now() });
        if (!isAsking) void ask();
      });
    },
  };
}
