import type { RootCallId } from '@buckthornslip/common';

import type { RetryBudgets } from './RetryBudgets';

/**
 * Creates the root call retry budgets of one node.
 *
 * @returns Empty budgets.
 * @public
 */
export function createRetryBudgets(): RetryBudgets {
  const remaining = new Map<RootCallId, number>();
  return {
    open: (rootCallId, budget) => {
      remaining.set(rootCallId, budget);
    },
    close: (rootCallId) => {
      remaining.delete(rootCallId);
    },
    spend: (rootCallId) => {
      const units = remaining.get(rootCallId) ?? 0;
      if (units <= 0) return false;
      remaining.set(rootCallId, units - 1);
      return true;
    },
  };
}
