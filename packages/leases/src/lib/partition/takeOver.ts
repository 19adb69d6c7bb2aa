import { chooseOwnCandidates } from './chooseOwnCandidates';
import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import type { PartitionState } from './PartitionState';
import type { TakeoverPlan } from './planTakeover';
import { writeRecord } from './writeRecord';

/**
 * Tries to take over a partition under the next epoch.
 *
 * The caller must check the plan in the same turn of the event loop, so that no extension can be granted in
 * between.
 *
 * @internal
 */
export async function takeOver(
  context: LeaseContext,
  state: PartitionState,
  { reason, isWithoutState }: TakeoverPlan,
): Promise<void> {
  const { self, durations, prepareCandidate, logger } = context;
  const { host, incarnation, controlAddress } = self;
  const { partition, lastSeen } = state;
  const epoch = state.highestEpoch + 1;
  const isFirst = epoch === 1;
  const listed = new Set(lastSeen?.record.candidates.map(nodeKey));
  const wanted = chooseOwnCandidates(context, state);
  // Nodes without the holder's state are prepared first and listed as candidates by a later renewal.
  const mustPrepare = prepareCandidate !== undefined && !isFirst;
  const candidates = mustPrepare ? wanted.filter((node) => listed.has(nodeKey(node))) : wanted;
  const fields = {
    partition,
    epoch,
    holder: { host, incarnation, controlAddress },
    candidates,
    termMilliseconds: durations.term,
    handedOver: false,
  };
  logger.log('leaseTakeover', { partition, epoch, reason });
  state.update({ pendingTakeoverRevision: lastSeen?.revision ?? 0 });
  await writeRecord(context, state, fields, isWithoutState && !isFirst);
}
