import { createHash } from 'node:crypto';

import type { NodeIdentity, PartitionId } from '@buckthornslip/common';

const weightOf = (partition: PartitionId, { host }: NodeIdentity): string =>
  createHash('sha256').update(`${partition}\n${host}`).digest('hex');

/**
 * Orders members by rendezvous hashing, so that all nodes agree on who comes first and few partitions
 * move when members come and go.
 *
 * @param partition - The partition.
 * @param members - Members, one for each host.
 * @returns The members, the preferred one first.
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
