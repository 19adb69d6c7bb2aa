import type { RegionId } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';

import type { AcceptedRequest } from '../entry/AcceptedRequest';
import { permittedRegions } from './permittedRegions';

/**
 * Finds the regions in which an accepted request may be served now. Its body or an earlier attempt may have taken seconds since
 * it was accepted, so the policy may have changed.
 *
 * @param current - The policy in force.
 * @param accepted - The request. A route or account that the policy no longer has keeps its earlier restriction.
 * @returns The regions; undefined for all.
 * @internal
 */
export function regionsInForce(
  current: CallPolicy | undefined,
  accepted: Pick<AcceptedRequest, 'policy' | 'entry' | 'account'>,
): ReadonlySet<RegionId> | undefined {
  const { account, entry, policy } = accepted;
  const { route } = entry;
  if (!current || current === policy) return permittedRegions(route, account);
  const currentRoute = current.routes.find(({ name }) => name === route.name);
  const currentAccount = account && current.accounts.get(account.id);
  return permittedRegions(currentRoute ?? route, currentAccount ?? account);
}
