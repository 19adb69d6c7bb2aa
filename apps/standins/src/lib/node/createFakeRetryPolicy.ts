import type { RetryPolicy } from '@buckthornslip/calls';

const BACK_OFF_MILLISECONDS = 5;

/**
 * @returns A retry policy with root call budgets that only this node knows.
 * @internal
 */
export function createFakeRetryPolicy(): RetryPolicy {
  const budgets = new Map<string, number>();
  const chargedCalls = new Set<string>();
  const spend = (root: string): boolean => {
    const left = budgets.get(root) ?? 0;
    if (left > 0) budgets.set(root, left - 1);
    return left > 0;
  };
  return {
    openRoot: (root, budget) => budgets.set(root, budget),
    closeRoot: (root) => budgets.delete(root),
    countFirstAttempt: () => undefined,
    decide: async ({ bodyAvailable, context, outcome, repeatable, suspected }) => {
      if (suspected) return { retry: false, reason: 'denied-suspect' };
      if (!bodyAvailable) return { retry: false, reason: 'denied-body-consumed' };
      if (outcome !== 'not-run' && !repeatable) {
        return { retry: false, reason: 'denied-not-repeatable' };
      }
      if (!spend(context.rootCallId)) return { retry: false, reason: 'denied-root-budget' };
      const reason = outcome === 'not-run' ? 'retried-not-run' : 'retried-repeatable';
      return { retry: true, reason, backOffMilliseconds: BACK_OFF_MILLISECONDS };
    },
    chargeRepeat: async (context, fingerprint) => {
      const call = `${context.callId} ${fingerprint}`;
      if (chargedCalls.has(call)) return spend(context.rootCallId);
      chargedCalls.add(call);
      return true;
    },
  };
}
