import { failure, success } from '@buckthornslip/common';
import type { AccountId, Result } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';

import type { AccountLimiterOptions } from './AccountLimiterOptions';
import { createAccountTokens } from './createAccountTokens';
import { createDemandEstimate } from './createDemandEstimate';
import { createWaitQueue } from './createWaitQueue';
import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';
import type { LimitRefusal } from './LimitRefusal';
import { prefetchHorizon } from './prefetchHorizon';
import type { AnsweredRequest, TokenServerAnswer, TokenServerClient } from './TokenServerClient';

/**
 * Maximum time that a call waits for a token, in milliseconds. A small account gets its next token
 * within this time.
 */
const DEFAULT_WAIT_MILLISECONDS = 500;

/**
 * Maximum time that a call waits while no token server has answered, in milliseconds. A token server that stops
 * gracefully has handed its accounts over within this time.
 */
const UNANSWERED_WAIT_MILLISECONDS = 2_000;

/**
 * Maximum number of waiting calls of one account. Further calls would not get a token before their
 * wait times out.
 */
const MAXIMUM_WAITING_CALLS = 128;

/** Minimum time between two requests for one account, in milliseconds. */
const MINIMUM_INTERVAL_MILLISECONDS = 25;

/**
 * Minimum time between two requests that prefetch tokens or send reports, as a fraction of the
 * prefetch horizon.
 */
const PREFETCH_INTERVAL_SHARE = 0.25;

/** Bounds of the retry delay after a token server had no tokens, in milliseconds. */
const MINIMUM_RETRY_MILLISECONDS = 50;
const MAXIMUM_RETRY_MILLISECONDS = 200;

/** Time before the expiry of a grant at which its unspent tokens are returned, in milliseconds. */
const RETURN_BEFORE_MILLISECONDS = 250;

/**
 * Spending is reported promptly only for accounts whose burst is below this many seconds of their
 * rate.
 */
const REPORTED_BURST_SECONDS = 4;

/**
 * Rate limiter of one account at an entry node.
 *
 * @internal
 */
export interface SingleAccountLimiter {
  readonly spend: (signal?: AbortSignal) => Promise<Result<void, LimitRefusal>>;
}

function isShort(request: GrantRequest, response: GrantResponse): boolean {
  if (response.kind === 'empty') return true;
  return response.kind === 'granted' && response.tokens < request.needed;
}

/**
 * @param options - Options of the account limiter.
 * @param account - The account.
 * @param client - Client of the token servers.
 * @returns A limiter without tokens.
 * @internal
 */
export function createSingleAccountLimiter(
  options: AccountLimiterOptions,
  account: AccountId,
  client: TokenServerClient,
): SingleAccountLimiter {
  const { clock, random } = options;
  const now = clock.monotonicMilliseconds;
  const tokens = createAccountTokens(now);
  const demand = createDemandEstimate(now);
  const waitQueue = createWaitQueue(clock);
  let isRequesting = false;
  /** Earliest times of the next request for waiting calls and for prefetched tokens. */
  let nextRequest = 0;
  let nextPrefetch = 0;
  let needed = 0;
  let unreportedDemand = 0;
  /** Send time of the last request that a token server answered with fewer tokens than calls were waiting for. */
  let lastShortRequestMilliseconds = -Infinity;
  let cancelTimer: (() => void) | undefined;
  let timerDue = Infinity;

  const definition = (): AccountDefinition | undefined => options.accounts().get(account);

  const horizon = (): number => {
    const known = definition();
    return known ? prefetchHorizon(known) : 0;
  };

  /** Number of tokens that covers the demand within the prefetch horizon. */
  const prefetchTarget = (): number => Math.floor((demand.perSecond() * horizon()) / 1_000);

  const releaseWaitingCalls = (): void => {
    while (waitQueue.size() > 0 && tokens.take()) waitQueue.releaseFirst();
  };

  const onAnswer = ({ request, response, sentMilliseconds }: AnsweredRequest): void => {
    if (response.kind === 'not-holder') return;
    tokens.acknowledge(request.reports);
    // Only the responsible token server tracks demand.
    if (response.kind !== 'other-region') unreportedDemand -= request.demand;
    if (isShort(request, response)) lastShortRequestMilliseconds = sentMilliseconds;
    if (response.kind !== 'granted') return;
    tokens.add({
      partition: request.partition,
      epoch: response.epoch,
      sequence: response.sequence,
      tokens: response.tokens,
      expiresMilliseconds: sentMilliseconds + response.lifeMilliseconds,
    });
  };

  const intervalAfter = (answer: TokenServerAnswer): number => {
    if (answer.kind === 'granted') return MINIMUM_INTERVAL_MILLISECONDS;
    const advice =
      answer.kind === 'empty' ? answer.retryAfterMilliseconds : MINIMUM_RETRY_MILLISECONDS;
    // Jitter spreads the retries of nodes that wait for the same bucket.
    const spread = 1 + random.next() / 4;
    return (
      Math.min(MAXIMUM_RETRY_MILLISECONDS, Math.max(MINIMUM_RETRY_MILLISECONDS, advice)) * spread
    );
  };

  const requestTokens = async (): Promise<void> => {
    if (isRequesting) return;
    isRequesting = true;
    tokens.closeExpiring(RETURN_BEFORE_MILLISECONDS);
    const answer = await client.requestTokens(
      account,
      (partition) => {
        needed = waitQueue.size();
        return {
          needed,
          ahead: Math.max(0, prefetchTarget() - tokens.available()),
          demand: unreportedDemand,
          reports: tokens.reports(partition),
        };
      },
      onAnswer,
    );
    isRequesting = false;
    const interval = intervalAfter(answer);
    // An empty answer to a prefetch does not delay requests for calls that wait.
    const isBackoffNeeded = needed > 0 || answer.kind === 'unavailable';
    nextRequest = now() + (isBackoffNeeded ? interval : MINIMUM_INTERVAL_MILLISECONDS);
    nextPrefetch = now() + Math.max(interval, horizon() * PREFETCH_INTERVAL_SHARE);
    releaseWaitingCalls();
    scheduleNextRequest();
  };

  /** @returns Time at which the next request is due, or undefined if none is needed. */
  const dueTime = (): number | undefined => {
    if (waitQueue.size() > 0) return nextRequest;
    if (tokens.available() < prefetchTarget() / 2) return nextPrefetch;
    const known = definition();
    if (!known) return undefined;
    const returnTime = (tokens.nextExpiry() ?? Infinity) - RETURN_BEFORE_MILLISECONDS;
    const isReportNeeded = known.burst < REPORTED_BURST_SECONDS * known.ratePerSecond;
    const reportTime =
      isReportNeeded && tokens.hasUnreported(client.partitionOf(account)) ? nextPrefetch : Infinity;
    const due = Math.max(nextRequest, Math.min(returnTime, reportTime));
    return due < Infinity ? due : undefined;
  };

  function scheduleNextRequest(): void {
    if (isRequesting) return;
    const due = dueTime() ?? Infinity;
    if (due === timerDue) return;
    cancelTimer?.();
    cancelTimer = undefined;
    timerDue = due;
    if (due === Infinity) return;
    if (due <= now()) {
      timerDue = Infinity;
      void requestTokens();
      return;
    }
    cancelTimer = clock.setTimer(due - now(), () => {
      timerDue = Infinity;
      void requestTokens();
    });
  }

  /** Only a token server can tell that an account is over its rate, and only of calls that its request counted. */
  const isOverRate = (sinceMilliseconds: number): boolean =>
    lastShortRequestMilliseconds >= sinceMilliseconds;

  const refusal = (sinceMilliseconds: number): LimitRefusal => ({
    kind: isOverRate(sinceMilliseconds) ? 'account-rate' : 'limit-unavailable',
    retryAfterMilliseconds: Math.ceil(Math.max(MINIMUM_RETRY_MILLISECONDS, nextRequest - now())),
  });

  const waitMilliseconds = options.waitMilliseconds ?? DEFAULT_WAIT_MILLISECONDS;

  const waitForToken = async (signal?: AbortSignal): Promise<Result<void, LimitRefusal>> => {
    const arrivedMilliseconds = now();
    const waitUntil = arrivedMilliseconds + UNANSWERED_WAIT_MILLISECONDS;
    const mayWait = (): boolean => now() < waitUntil && !isOverRate(arrivedMilliseconds);
    let end: Awaited<ReturnType<typeof waitQueue.wait>>;
    do {
      const waiting = waitQueue.wait(waitMilliseconds, signal);
      scheduleNextRequest();
      end = await waiting;
    } while (end === 'timeout' && mayWait());
    return end === 'token' ? success(undefined) : failure(refusal(arrivedMilliseconds));
  };

  return {
    spend: async (signal) => {
      demand.record();
      unreportedDemand += 1;
      if (waitQueue.size() === 0 && tokens.take()) {
        scheduleNextRequest();
        return success(undefined);
      }
      return waitQueue.size() < MAXIMUM_WAITING_CALLS
        ? waitForToken(signal)
        : failure(refusal(now() - waitMilliseconds));
    },
  };
}
