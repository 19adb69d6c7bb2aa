import type { LeaseNode } from '../node/LeaseNode';
import { leaseKey } from '../record/leaseKey';
import { chooseForHolder } from './chooseForHolder';
import { isExcluded } from './isExcluded';
import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import { observeEntry } from './observeEntry';
import type { PartitionState, SeenRecord } from './PartitionState';
import { prepareCandidates } from './prepareCandidates';
import { runPromiseRound } from './runPromiseRound';
import { writeRecord } from './writeRecord';

/** Tells nodes that have become candidates, so that they begin to follow the record closely. */
function notifyNewCandidates(
  context: LeaseContext,
  state: PartitionState,
  before: SeenRecord,
): void {
  const known = new Set(before.record.candidates.map(nodeKey));
  const added = state.seen?.record.candidates.filter((node) => !known.has(nodeKey(node))) ?? [];
  if (added.length === 0) return;
  const { partition } = state;
  context.logger.log('leaseCandidatesChanged', { partition, added: added.map(nodeKey) });
  added.forEach((node) => {
    void context.peers.refresh(node, partition).catch(() => undefined);
  });
}

async function readBack(context: LeaseContext, state: PartitionState): Promise<void> {
  const result = await context.read(leaseKey(state.partition));
  if (result.ok) observeEntry(context, state, result.value);
}

function logStoreState(context: LeaseContext, state: PartitionState, isFailing: boolean): void {
  if (state.isStoreFailing === isFailing) return;
  state.update({ isStoreFailing: isFailing });
  const event = isFailing ? 'leaseRenewalFailing' : 'leaseRenewalRecovered';
  context.logger.log(event, { partition: state.partition, epoch: state.tenure?.epoch });
}

function candidatesToWrite(
  context: LeaseContext,
  state: PartitionState,
  { record }: SeenRecord,
  onPrepared: () => void,
): readonly LeaseNode[] {
  const wanted = chooseForHolder(context, state);
  if (!state.isStoreFailing) return prepareCandidates(context, state, wanted, onPrepared);
  // During an outage candidates are only removed: each one added by a write that may have taken effect
  // would be one more whose promise is needed.
  return record.candidates.filter((node) => !isExcluded(context, state, node));
}

/**
 * Renews the lease once; while the store does not answer, asks the candidates for promises as well.
 *
 * @param onPrepared - Called when a new candidate can be listed by a further renewal.
 * @internal
 */
export async function runHolderCycle(
  context: LeaseContext,
  state: PartitionState,
  seen: SeenRecord,
  onPrepared: () => void,
): Promise<void> {
  const { tenure } = state;
  const candidates = candidatesToWrite(context, state, seen, onPrepared);
  const isFailingAlready = state.isStoreFailing;
  // While the store fails, the promises are asked for at the same time, because a renewal that times out
  // takes a large part of the term.
  const early = isFailingAlready && tenure ? runPromiseRound(context, state, tenure) : undefined;
  const fields = { ...seen.record, candidates, handedOver: false };
  const startedWithoutState = tenure?.startedWithoutState ?? true;
  const result = await writeRecord(context, state, fields, startedWithoutState);
  const isFailing = !result.ok && result.error.kind !== 'conflict';
  logStoreState(context, state, isFailing);
  if (result.ok) notifyNewCandidates(context, state, seen);
  if (isFailing && !early && tenure) await runPromiseRound(context, state, tenure);
  if (isFailing) await readBack(context, state);
  await early;
}
