import type { PartitionId, RegionId, ServiceId } from '@buckthornslip/common';
import type { LeaseMember } from '@buckthornslip/leases';
import type { Member, MembershipNode } from '@buckthornslip/membership';

type MemberSelector = (membership: MembershipNode, name: string) => readonly Member[];

/** Members that may hold a partition, by the prefix of the partition's name. */
const memberSelectors: Readonly<Record<string, MemberSelector>> = {
  home: (membership, service) =>
    membership.members(service as ServiceId).filter(({ state }) => state === 'ready'),
  // A region has few contacts, they know all its nodes and rarely change. The state of their upstreams is irrelevant.
  limits: (membership, name) => {
    const region = name.slice(0, name.lastIndexOf('/')) as RegionId;
    const contacts = membership.contacts().get(region) ?? [];
    return contacts.filter(({ state }) => state !== 'draining' && state !== 'left');
  },
};

function toLeaseMember(member: Member): LeaseMember {
  const { host, incarnation, zone, controlAddress } = member;
  return { host, incarnation, zone, controlAddress };
}

/**
 * @param membership - Membership of this node.
 * @param partition - A partition.
 * @returns The members that may hold it.
 * @internal
 */
export function eligibleMembers(
  membership: MembershipNode,
  partition: PartitionId,
): readonly LeaseMember[] {
  const separator = partition.indexOf('/');
  const select = memberSelectors[partition.slice(0, separator)];
  const members = select?.(membership, partition.slice(separator + 1)) ?? [];
  return members.filter(({ alive }) => alive).map(toLeaseMember);
}
