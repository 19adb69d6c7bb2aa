import type { Clock } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { TokenBucket } from './createTokenBucket';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerRequest } from './LedgerRequest';

/**
 * Longest time that a request waits for tokens at the ledger, in milliseconds. A caller that is refused loses nothing
 * as long as it hears so within an eighth of its latency objective, and objectives begin at half a second.
 */
const MAX_WAIT_MILLISECONDS = 70;

/** Share of the burst below which nothing is granted ahead of need: unspent tokens would be missing elsewhere. */
const MIN_BURST_SHARE_FOR_PREFETCH = 0.5;

interface Waiter {
  readonly needed: number;
  readonly settle: (grant: LedgerGrant) => void;
}

/** Requests for the tokens of one account, in the order of their arrival. */
export interface TokenRequestQueue {
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
}

/**
 * Creates the line of one account. The order of arrival decides, so that nodes near the ledger have no advantage.
 *
 * @param clock - Source of time.
 * @param bucket - Tokens of the account.
 * @param allowance - What the account pays for.
 * @returns An empty line.
 * @internal
 */
export function createTokenRequestQueue(
  clock: Clock,
  bucket: TokenBucket,
  allowance: () => AccountAllowance,
): TokenRequestQueue {
  const waiters: Waiter[] = [];
  let waitingTokens = 0;
  let isTimerSet = false;

  const serveWaiters = (): void => {
    isTimerSet = false;
    for (let first = waiters[0]; first && bucket.available() >= 1; [first] = waiters) {
      const tokens = Math.min(first.needed, bucket.available());
      bucket.take(tokens);
      waitingTokens -= first.needed;
      waiters.shift();
      first.settle({ tokens, retryAfterMilliseconds: 0 });
    }
    setTimer();
  };

  function setTimer(): void {
    if (isTimerSet || waiters.length === 0) return;
    isTimerSet = true;
    clock.setTimer(Math.ceil(bucket.millisecondsUntil(1)), serveWaiters);
  }

  const grantNow = ({ ahead, needed }: LedgerRequest): LedgerGrant => {
    const available = bucket.available();
    const spare = Math.max(
      0,
      available - needed - allowance().burst * MIN_BURST_SHARE_FOR_PREFETCH,
    );
    const tokens = Math.min(available, needed) + Math.min(ahead, Math.floor(spare));
    bucket.take(tokens);
    return { tokens, retryAfterMilliseconds: 0 };
  };

  return {
    grant: (request) => {
      const { needed } = request;
      if (waiters.length === 0 && bucket.available() >= 1) {
        return Promise.resolve(grantNow(request));
      }
      const wait = bucket.millisecondsUntil(waitingTokens + 1);
      if (wait > MAX_WAIT_MILLISECONDS) {
        return Promise.resolve({ tokens: 0, retryAfterMilliseconds: wait });
      }
      return new Promise((settle) => {
        waiters.push({ needed, settle });
        waitingTokens += needed;
        setTimer();
      });
    },
  };
}
