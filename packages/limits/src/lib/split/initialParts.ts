import type { RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';

import type { AccountGrouping } from '../groups/AccountGrouping';
import { FULL_SHARE } from './FULL_SHARE';
import { MIN_DIVIDED_BURST } from './MIN_DIVIDED_BURST';

/**
 * Divides an account that has no split yet.
 *
 * @param account - The account.
 * @param regions - Regions of the manifest.
 * @param grouping - Chooses the region of a small account.
 * @returns Equal parts, or the whole for one region if the account is small.
 * @internal
 */
export function initialParts(
  account: AccountDefinition,
  regions: readonly RegionId[],
  grouping: AccountGrouping,
): ReadonlyMap<RegionId, number> {
  if (account.burst < MIN_DIVIDED_BURST) {
    const owner = grouping.choose(account.id, regions);
    return new Map(regions.map((region) => [region, region === owner ? FULL_SHARE : 0]));
  }
  const part = Math.floor(FULL_SHARE / regions.length);
  return new Map(regions.map((region) => [region, part]));
}
