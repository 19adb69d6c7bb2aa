import type { Clock, NodeIdentity, RandomSource, RetryReason } from '@buckthornslip/common';
import { isSameNode } from '@buckthornslip/common';

import type { CallContext } from '../context/CallContext';
import { createRepeatTracker } from './createRepeatTracker';
import { createServiceRetryBudget } from './createServiceRetryBudget';
import type { RetryBudgets } from './RetryBudgets';
import type { RetryDecision } from './RetryDecision';
import type { RetryPeers } from './RetryPeers';
import type { RetryPolicy } from './RetryPolicy';
import type { RetryRequest } from './RetryRequest';

/** Mean back-off before the first retry, in milliseconds. It doubles with each further attempt. */
const BASE_BACK_OFF_MILLISECONDS = 10;

/** Maximum back-off, in milliseconds. */
const MAXIMUM_BACK_OFF_MILLISECONDS = 500;

/** Time that must remain after the back-off for a retry to be worthwhile, in milliseconds. */
const MINIMUM_TIME_LEFT_MILLISECONDS = 5;

function denial(request: RetryRequest): RetryReason | undefined {
  if (request.suspected) return 'denied-suspect';
  if (request.outcome !== 'not-run' && !request.repeatable) return 'denied-not-repeatable';
  if (!request.bodyAvailable) return 'denied-body-consumed';
  return undefined;
}

/**
 * Creates the retry policy of one node.
 *
 * @param options - Clock, random source, identity and budgets of this node, and the client of other nodes.
 * @returns The policy.
 * @public
 */
export function createRetryPolicy(options: {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: NodeIdentity;
  readonly budgets: RetryBudgets;
  readonly peers: RetryPeers;
}): RetryPolicy {
  const { clock, random, self, budgets, peers } = options;
  const serviceBudget = createServiceRetryBudget(clock);
  const repeats = createRepeatTracker(clock);

  const backOff = (attempts: number): number => {
    const mean = BASE_BACK_OFF_MILLISECONDS * 2 ** Math.max(0, attempts - 1);
    // Full jitter spreads out the retries of calls that failed at the same time.
    return random.next() * Math.min(MAXIMUM_BACK_OFF_MILLISECONDS, mean * 2);
  };

  const spendRoot = async (context: CallContext): Promise<boolean | undefined> => {
    if (isSameNode(context.rootNode, self)) return budgets.spend(context.rootCallId);
    return peers.spendRetry(context.rootControlAddress, context.rootCallId);
  };

  const hasTime = (context: CallContext, backOffMilliseconds: number): boolean => {
    const left = context.deadlineWallMilliseconds - clock.wallMilliseconds();
    return left >= backOffMilliseconds + MINIMUM_TIME_LEFT_MILLISECONDS;
  };

  const decide = async (request: RetryRequest): Promise<RetryDecision> => {
    const denied = denial(request);
    if (denied) return { retry: false, reason: denied };
    const backOffMilliseconds = backOff(request.attempts);
    if (!hasTime(request.context, backOffMilliseconds)) {
      return { retry: false, reason: 'denied-deadline' };
    }
    if (!serviceBudget.spend(request.service))
      return { retry: false, reason: 'denied-service-ratio' };
    const granted = await spendRoot(request.context);
    if (!granted) {
      serviceBudget.refund(request.service);
      const reason = granted === false ? 'denied-root-budget' : 'denied-root-unreachable';
      return { retry: false, reason };
    }
    const reason = request.outcome === 'not-run' ? 'retried-not-run' : 'retried-repeatable';
    return { retry: true, reason, backOffMilliseconds };
  };

  return {
    openRoot: budgets.open,
    closeRoot: budgets.close,
    countFirstAttempt: serviceBudget.countFirstAttempt,
    decide,
    chargeRepeat: async (context, fingerprint) => {
      const { callId, deadlineWallMilliseconds } = context;
      if (!repeats.isRepeat(callId, fingerprint, deadlineWallMilliseconds)) return true;
      return (await spendRoot(context)) === true;
    },
  };
}
