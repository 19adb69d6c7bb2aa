import type { LeaseNode } from '../node/LeaseNode';
import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import type { PartitionState } from './PartitionState';

/**
 * Starts to prepare nodes that are to become candidates.
 *
 * @param onPrepared - Called each time a node has been prepared.
 * @returns The nodes that can be listed now.
 * @internal
 */
export function prepareCandidates(
  context: LeaseContext,
  state: PartitionState,
  wanted: readonly LeaseNode[],
  onPrepared: () => void,
): readonly LeaseNode[] {
  const { prepareCandidate } = context;
  const { lastSeen, tenure, prepared, preparing, partition } = state;
  if (!prepareCandidate || !tenure) return wanted;
  const listed = new Set(lastSeen?.record.candidates.map(nodeKey));
  const isReady = (node: LeaseNode): boolean =>
    listed.has(nodeKey(node)) || prepared.has(nodeKey(node));
  const prepare = async (node: LeaseNode): Promise<void> => {
    preparing.add(nodeKey(node));
    const done = await prepareCandidate(partition, tenure.epoch, node).catch(() => false);
    preparing.delete(nodeKey(node));
    if (!done || state.tenure?.epoch !== tenure.epoch) return;
    prepared.add(nodeKey(node));
    onPrepared();
  };
  wanted
    .filter((node) => !isReady(node) && !preparing.has(nodeKey(node)))
    .forEach((node) => {
      void prepare(node);
    });
  return wanted.filter(isReady);
}
