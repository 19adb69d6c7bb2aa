import type { RegionId } from '@buckthornslip/common';

import type { TrackedMember } from '../members/TrackedMember';
import type { RouteRequest } from '../choice/RouteRequest';
import type { LinkBudget } from '../link/LinkBudget';

/** Weight of the newest call in the moving average of the size of a service's calls. */
const AVERAGE_WEIGHT = 0.1;

/**
 * Charges the calls of one service to the link budgets of their regions.
 *
 * @param budgetOf - Returns the link budget for another region.
 * @param undeclaredBodyBytes - Bytes charged for a call whose body size is not declared.
 * @returns Functions that take bytes for a call and correct the budget at its end.
 * @internal
 */
export function createLinkCharges(
  budgetOf: (region: RegionId) => LinkBudget,
  undeclaredBodyBytes: number,
): {
  readonly tryTake: (tracked: TrackedMember, request: RouteRequest) => boolean;
  readonly reconcile: (tracked: TrackedMember, transferredBytes: number) => void;
} {
  let averageBytes = 0;
  return {
    tryTake: (tracked, request) => {
      const bodyBytes = request.bodyBytes ?? undeclaredBodyBytes;
      const bytes = Math.max(bodyBytes, averageBytes);
      const budget = budgetOf(tracked.member.region);
      if (!budget.tryTake(bytes, bodyBytes, request.priority)) return false;
      Object.assign(tracked, { linkBytes: tracked.linkBytes + bytes });
      return true;
    },
    reconcile: (tracked, transferredBytes) => {
      averageBytes += AVERAGE_WEIGHT * (transferredBytes - averageBytes);
      // Reports don't identify the attempt, so each one returns an equal part of the bytes taken.
      const takenBytes = tracked.linkBytes / Math.max(1, tracked.inFlight);
      Object.assign(tracked, { linkBytes: tracked.linkBytes - takenBytes });
      budgetOf(tracked.member.region).reconcile(takenBytes, transferredBytes);
    },
  };
}
