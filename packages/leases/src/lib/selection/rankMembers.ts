import { createHash } from 'node:crypto';

import type { NodeIdentity, PartitionId } from '@buckthornslip/common';

const weightOf = (partition: PartitionId, { host }: NodeIdentity): string =>
  createHash('sha256').update(`${partition}\n${host}`).digest('hex');

/**
 * Orders members by rendezvous hashing, so that all nodes agree on the preferred member and few partitions
 * move when members join or leave.
 *
 * @param partition - The partition.
 * @param members - Members, one for each host.
 * @returns The members, most preferred first.
 * @internal
 */
export function rankMembers<Member extends NodeIdentity>(
  partition: PartitionId,
  members: readonly Member[],
): readonly Member[] {
  return members
    .map((member) => ({ member, weight: weightOf(partition, member) }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .map(({ member }) => member);
}
