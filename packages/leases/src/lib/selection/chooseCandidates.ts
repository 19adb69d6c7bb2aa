import {
  isSameNode,
  type NodeIdentity,
  type PartitionId,
  type ZoneId,
} from '@buckthornslip/common';

import type { LeaseMember } from '../node/LeaseMember';
import type { LeaseNode } from '../node/LeaseNode';
import { rankMembers } from './rankMembers';

/** Maximum number of candidates, without the holder. */
const MAXIMUM_CANDIDATES = 2;

const contains = (nodes: readonly NodeIdentity[], node: NodeIdentity): boolean =>
  nodes.some((other) => isSameNode(other, node));

const toLeaseNode = ({ host, incarnation, controlAddress }: LeaseNode): LeaseNode => ({
  host,
  incarnation,
  controlAddress,
});

/**
 * Chooses the candidates of a holder among live members, preferring other zones and then the current
 * candidates. If there is no live member at all, the listed candidates that are not known to be superseded
 * are kept, because a holder without candidates can't be replaced for `maximumOutage`.
 *
 * @param options - `eligible` are live members; `listed` are the current candidates that are not superseded.
 * @internal
 */
export function chooseCandidates(options: {
  readonly partition: PartitionId;
  readonly self: NodeIdentity;
  readonly zone: ZoneId;
  readonly eligible: readonly LeaseMember[];
  readonly listed: readonly LeaseNode[];
}): readonly LeaseNode[] {
  const { partition, self, zone, eligible, listed } = options;
  const others = eligible.filter(({ host }) => host !== self.host);
  const preference = (member: LeaseMember): number =>
    (member.zone === zone ? 2 : 0) + (contains(listed, member) ? 0 : 1);
  const chosen = [...rankMembers(partition, others)]
    .sort((left, right) => preference(left) - preference(right))
    .slice(0, MAXIMUM_CANDIDATES);
  return chosen.length === 0 ? listed : chosen.map(toLeaseNode);
}
