import type { Clock, TokenBucket } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerRequest } from './LedgerRequest';

/**
 * Maximum time that a request waits for tokens at the ledger, in milliseconds. A refusal costs a caller nothing if it
 * arrives within an eighth of the caller's latency objective, and the shortest objective is half a second.
 */
const MAXIMUM_WAIT_MILLISECONDS = 70;

/**
 * Fraction of the burst that must remain for prefetched tokens to be granted. Below it, unspent
 * tokens would be missing on other nodes.
 */
const MINIMUM_BURST_SHARE_FOR_PREFETCH = 0.5;

interface Waiter {
  readonly needed: number;
  readonly resolve: (grant: LedgerGrant) => void;
}

/** FIFO queue of requests for the tokens of one account. */
export interface TokenRequestQueue {
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
}

/**
 * Creates the request queue of one account. Requests are served in order of arrival, so that nodes
 * near the ledger have no advantage.
 *
 * @param clock - Source of time.
 * @param bucket - Token bucket of the account.
 * @param allowance - Current rate and burst of the account.
 * @returns An empty queue.
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
  const wholeTokens = (): number => Math.floor(bucket.available());

  const serveWaiters = (): void => {
    isTimerSet = false;
    for (let first = waiters[0]; first && bucket.available() >= 1; [first] = waiters) {
      const tokens = Math.min(first.needed, wholeTokens());
      bucket.take(tokens);
      waitingTokens -= first.needed;
      waiters.shift();
      first.resolve({ tokens, retryAfterMilliseconds: 0 });
    }
    setTimer();
  };

  function setTimer(): void {
    if (isTimerSet || waiters.length === 0) return;
    isTimerSet = true;
    clock.setTimer(Math.ceil(bucket.millisecondsUntil(1)), serveWaiters);
  }

  const grantNow = ({ ahead, needed }: LedgerRequest): LedgerGrant => {
    const available = wholeTokens();
    const spare = Math.max(
      0,
      available - needed - allowance().burst * MINIMUM_BURST_SHARE_FOR_PREFETCH,
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
      if (wait > MAXIMUM_WAIT_MILLISECONDS) {
        return Promise.resolve({ tokens: 0, retryAfterMilliseconds: wait });
      }
      return new Promise((resolve) => {
        waiters.push({ needed, resolve });
        waitingTokens += needed;
        setTimer();
      });
    },
  };
}
