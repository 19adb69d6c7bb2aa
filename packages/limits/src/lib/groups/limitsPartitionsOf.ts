import type { PartitionId, RegionId } from '@buckthornslip/common';

import { GROUPS_PER_REGION } from './GROUPS_PER_REGION';
import { limitsPartition } from './limitsPartition';

/**
 * Lists the limits partitions of a region, in order of their group number.
 *
 * @param region - The region.
 * @returns The partition ids.
 * @public
 */
export function limitsPartitionsOf(region: RegionId): readonly PartitionId[] {
  return Array.from({ length: GROUPS_PER_REGION }, (_, group) => limitsPartition(region, group));
}
