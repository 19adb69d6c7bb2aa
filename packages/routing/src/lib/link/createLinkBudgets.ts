import type { Clock, RegionId } from '@buckthornslip/common';

import type { LinkBudget } from './LinkBudget';
import type { LinkBudgetSettings } from './LinkBudgetSettings';
import { createLinkBudget } from './createLinkBudget';

/**
 * Creates the budgets of all region pairs of a node, each on first use.
 *
 * @param clock - Source of time.
 * @param settingsOf - Returns the budget settings for another region.
 * @returns A function that returns the budget for another region.
 * @internal
 */
export function createLinkBudgets(
  clock: Clock,
  settingsOf: (region: RegionId) => LinkBudgetSettings,
): (region: RegionId) => LinkBudget {
  const budgets = new Map<RegionId, LinkBudget>();
  return (region) => {
    const known = budgets.get(region);
    if (known) return known;
    const created = createLinkBudget(clock, settingsOf(region));
    budgets.set(region, created);
    return created;
  };
}
