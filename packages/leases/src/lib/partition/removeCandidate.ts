import {
  failure,
  isSameNode,
  success,
  type NodeIdentity,
  type Result,
} from '@buckthornslip/common';

import type { LeaseError } from '../manager/LeaseError';
import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import type { PartitionTask } from './PartitionTask';
import { possibleCandidates } from './possibleCandidates';
import { remainingLease } from './remainingLease';

/** Maximum number of cycles. The second one is needed if the first conflicts with an earlier write of this node. */
const MAXIMUM_CYCLES = 2;

/**
 * Removes a candidate from the record.
 *
 * @returns Success once no record that the store may contain lists the candidate.
 * @internal
 */
export async function removeCandidate(
  context: LeaseContext,
  task: PartitionTask,
  candidate: NodeIdentity,
): Promise<Result<void, LeaseError>> {
  const { clock, durations } = context;
  const { state } = task;
  const { tenure } = state;
  const isHeld = (): boolean => remainingLease(clock, state, tenure?.epoch ?? 0) > 0;
  const isListed = (): boolean =>
    possibleCandidates(state).some((node) => isSameNode(node, candidate));
  if (!isHeld()) return failure({ kind: 'not-holder' });
  state.excluded.set(nodeKey(candidate), clock.monotonicMilliseconds() + durations.exclusion);
  for (let cycle = 0; cycle < MAXIMUM_CYCLES && isListed(); cycle += 1) await task.runCycle();
  if (!isHeld()) return failure({ kind: 'not-holder' });
  return isListed() ? failure({ kind: 'store-unavailable' }) : success(undefined);
}
