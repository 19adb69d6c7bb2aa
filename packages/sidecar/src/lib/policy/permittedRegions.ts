import type { RegionId } from '@buckthornslip/common';
import type { PolicyAccount, PolicyRoute } from '@buckthornslip/config';

/**
 * Combines the restrictions of a request's route and account.
 *
 * @param route - Route of the request; undefined if it is not known.
 * @param account - Account of the request; undefined on open routes.
 * @returns Regions that both allow; undefined if neither names regions.
 * @internal
 */
export function permittedRegions(
  route: Pick<PolicyRoute, 'allowedRegions'> | undefined,
  account: Pick<PolicyAccount, 'allowedRegions'> | undefined,
): ReadonlySet<RegionId> | undefined {
  const ofRoute = route?.allowedRegions;
  const ofAccount = account?.allowedRegions;
  if (!ofRoute || !ofAccount) return ofRoute ?? ofAccount;
  return new Set([...ofRoute].filter((region) => ofAccount.has(region)));
}
