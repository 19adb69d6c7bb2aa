import type { LeaseNode } from '../node/LeaseNode';
import { nodeKey } from './nodeKey';
import type { PartitionState } from './PartitionState';

/**
 * Nodes that the store may list as candidates of this node: those of the confirmed record and those of
 * writes that may have taken effect. All of them must grant an extension.
 *
 * @internal
 */
export function possibleCandidates(state: PartitionState): readonly LeaseNode[] {
  const records = [...state.pendingWrites.values()].map(({ record }) => record);
  if (state.lastSeen) records.unshift(state.lastSeen.record);
  const ownRecords = records.filter(({ epoch }) => epoch === state.tenure?.epoch);
  const candidates = ownRecords.flatMap((record) => record.candidates);
  return [...new Map(candidates.map((node) => [nodeKey(node), node])).values()];
}
