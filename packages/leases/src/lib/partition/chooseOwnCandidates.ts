import type { LeaseNode } from '../node/LeaseNode';
import { chooseCandidates } from '../selection/chooseCandidates';
import { isExcluded } from './isExcluded';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState } from './PartitionState';

/**
 * Chooses the candidates that this node lists when it is the holder, except those removed on request.
 *
 * @internal
 */
export function chooseOwnCandidates(
  context: LeaseContext,
  state: PartitionState,
): readonly LeaseNode[] {
  const { self, incarnations } = context;
  const { partition } = state;
  const isAllowed = (node: LeaseNode): boolean => !isExcluded(context, state, node);
  const eligible = context.eligible(partition).filter(isAllowed);
  const listed = (state.lastSeen?.record.candidates ?? [])
    .filter(({ host }) => host !== self.host)
    .filter((node) => isAllowed(node) && !incarnations.isSuperseded(node));
  return chooseCandidates({ partition, self, zone: self.zone, eligible, listed });
}
