import type { AccountId, Clock, TokenRate } from '@buckthornslip/common';
import { createTokenBucket } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { AccountLedger, AccountLedgerOptions } from './AccountLedger';
import { createEffectiveAllowance } from './createEffectiveAllowance';
import type { TokenRequestQueue } from './createTokenRequestQueue';
import { createTokenRequestQueue } from './createTokenRequestQueue';

/**
 * Time after the first start of the whole system during which no ledger has moved to another node unless a node was lost, in
 * milliseconds.
 */
const FIRST_START_PERIOD_MILLISECONDS = 15_000;

/** Retry delay for unknown accounts, which a newer policy may contain by then, in milliseconds. */
const UNKNOWN_ACCOUNT_RETRY_MILLISECONDS = 1_000;

/**
 * Initial tokens of a bucket from which an earlier node may have granted tokens. Without any, a small account would be refused
 * for seconds after each move of its ledger. Three moves within a few seconds stay below the overshoot that operators allow,
 * which is 20 requests and a tenth of the limit.
 */
const MOVED_BUCKET_TOKENS = 5;

const NO_ALLOWANCE: AccountAllowance = { ratePerSecond: 0, burst: 0 };

/** Another node that grants tokens starts without the burst, so this node may grant the rest of it. */
const shareOf = ({ burst, ratePerSecond }: AccountAllowance, share: number): AccountAllowance => ({
  ratePerSecond: ratePerSecond * share,
  burst,
});

/** The capacity is at least one token; otherwise an account with a burst below one would never get any. */
const tokenRateOf = ({ burst, ratePerSecond }: AccountAllowance): TokenRate => ({
  tokensPerSecond: ratePerSecond,
  capacity: Math.max(1, burst),
});

/**
 * Creates a ledger. A bucket from which an earlier node may have granted tokens starts with few: the account gets its rate
 * at once and its burst as the bucket refills, so it exceeds its limit by these tokens at most.
 *
 * @param clock - Source of time.
 * @param options - Dependencies and settings.
 * @returns A ledger without buckets.
 * @public
 */
export function createAccountLedger(clock: Clock, options: AccountLedgerOptions): AccountLedger {
  const queues = new Map<AccountId, TokenRequestQueue>();
  const effectiveAllowances = new Map<AccountId, () => AccountAllowance>();
  /** Accounts whose ledger another node has kept since the start of this one. */
  const moved = new Set<AccountId>();
  const startedMilliseconds = clock.monotonicMilliseconds();

  const queueOf = (account: AccountId): TokenRequestQueue => {
    const known = queues.get(account);
    if (known) return known;
    const whole = createEffectiveAllowance(
      clock,
      () => options.allowanceOf(account) ?? NO_ALLOWANCE,
    );
    effectiveAllowances.set(account, whole);
    const allowance = (): AccountAllowance => shareOf(whole(), options.share());
    const age = clock.monotonicMilliseconds() - startedMilliseconds;
    const isFirst = options.isFirstStart && age < FIRST_START_PERIOD_MILLISECONDS;
    const startsFull = isFirst && !options.hasLostNodes() && !moved.has(account);
    const { burst } = allowance();
    const initialTokens = startsFull ? burst : Math.min(burst, MOVED_BUCKET_TOKENS);
    const bucket = createTokenBucket(clock, () => tokenRateOf(allowance()), initialTokens);
    const created = createTokenRequestQueue(clock, bucket, allowance);
    queues.set(account, created);
    return created;
  };

  return {
    applyPolicy: () => effectiveAllowances.forEach((allowance) => allowance()),
    forgetMoved: (isKeptHere) =>
      [...queues.keys()]
        .filter((account) => !isKeptHere(account))
        .forEach((account) => {
          queues.delete(account);
          effectiveAllowances.delete(account);
          moved.add(account);
        }),
    grant: (request) => {
      const allowance = options.allowanceOf(request.account);
      if (!allowance) {
        return Promise.resolve({
          tokens: 0,
          retryAfterMilliseconds: UNKNOWN_ACCOUNT_RETRY_MILLISECONDS,
        });
      }
      if (allowance.ratePerSecond === 0) {
        return Promise.resolve({ tokens: request.needed, retryAfterMilliseconds: 0 });
      }
      return queueOf(request.account).grant(request);
    },
  };
}
