import type { RootCallId } from '@buckthornslip/common';

/**
 * Retry budgets of the root calls that entered at this node. A budget covers all nested calls of its root call.
 *
 * @public
 */
export interface RetryBudgets {
  readonly open: (rootCallId: RootCallId, budget: number) => void;
  readonly close: (rootCallId: RootCallId) => void;

  /**
   * Spends one retry of a budget.
   *
   * @returns False when the budget is used up, or the root call is not known here or has ended.
   */
  readonly spend: (rootCallId: RootCallId) => boolean;
}
