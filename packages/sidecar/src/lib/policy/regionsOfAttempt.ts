import type { RegionId } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';

import type { CallAttempt } from '../serving/CallAttempt';
import { permittedRegions } from './permittedRegions';

/**
 * Finds the regions in which a call may be served, at its serving node.
 *
 * @param policy - The policy in force at this node.
 * @param call - The call.
 * @returns The regions; undefined for all.
 * @internal
 */
export function regionsOfAttempt(
  policy: CallPolicy | undefined,
  { account, route }: Pick<CallAttempt, 'account' | 'route'>,
): ReadonlySet<RegionId> | undefined {
  const currentAccount = account === undefined ? undefined : policy?.accounts.get(account);
  return permittedRegions(
    policy?.routes.find(({ name }) => name === route),
    currentAccount,
  );
}
