import type { RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';

import type { AccountGrouping } from '../groups/AccountGrouping';
import { FULL_SHARE } from './FULL_SHARE';
import { MINIMUM_DIVIDED_BURST } from './MINIMUM_DIVIDED_BURST';

/**
 * Computes the initial split of an account.
 *
 * @param account - The account.
 * @param regions - Regions of the active manifest.
 * @param grouping - Chooses the owner region of a small account.
 * @returns Equal parts, or the full share for one region if the account's burst is too small to divide.
 * @internal
 */
export function initialParts(
  account: AccountDefinition,
  regions: readonly RegionId[],
  grouping: AccountGrouping,
): ReadonlyMap<RegionId, number> {
  if (account.burst < MINIMUM_DIVIDED_BURST) {
    const owner = grouping.choose(account.id, regions);
    return new Map(regions.map((region) => [region, region === owner ? FULL_SHARE : 0]));
  }
  const part = Math.floor(FULL_SHARE / regions.length);
  return new Map(regions.map((region) => [region, part]));
}
