import type { LeaseNode } from '../node/LeaseNode';
import { leaseKey } from '../record/leaseKey';
import { chooseOwnCandidates } from './chooseOwnCandidates';
import { isExcluded } from './isExcluded';
import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import { observeEntry } from './observeEntry';
import type { PartitionState, SeenRecord } from './PartitionState';
import { prepareCandidates } from './prepareCandidates';
import { requestExtensions } from './requestExtensions';
import { writeRecord } from './writeRecord';

/** Notifies nodes that have become candidates, so that they read the record at the shorter interval. */
function notifyNewCandidates(
  context: LeaseContext,
  state: PartitionState,
  before: SeenRecord,
): void {
  const known = new Set(before.record.candidates.map(nodeKey));
  const added = state.lastSeen?.record.candidates.filter((node) => !known.has(nodeKey(node))) ?? [];
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
  const wanted = chooseOwnCandidates(context, state);
  if (!state.isStoreFailing) return prepareCandidates(context, state, wanted, onPrepared);
  // During an outage candidates are only removed: a candidate added by a write that may have taken effect
  // would also have to grant each extension.
  return record.candidates.filter((node) => !isExcluded(context, state, node));
}

/**
 * Renews the lease once. If the store does not answer, also asks the candidates to extend it.
 *
 * @param onPrepared - Called when a new candidate is ready to be listed by another renewal.
 * @internal
 */
export async function runHolderCycle(
  context: LeaseContext,
  state: PartitionState,
  lastSeen: SeenRecord,
  onPrepared: () => void,
): Promise<void> {
  const { tenure } = state;
  const candidates = candidatesToWrite(context, state, lastSeen, onPrepared);
  const isFailingAlready = state.isStoreFailing;
  // While the store is failing, extensions are requested concurrently, because a renewal that times out
  // takes a large part of the term.
  const earlyExtensions =
    isFailingAlready && tenure ? requestExtensions(context, state, tenure) : undefined;
  const fields = { ...lastSeen.record, candidates, handedOver: false };
  const startedWithoutState = tenure?.startedWithoutState ?? true;
  const result = await writeRecord(context, state, fields, startedWithoutState);
  const isFailing = !result.ok && result.error.kind !== 'conflict';
  logStoreState(context, state, isFailing);
  if (result.ok) notifyNewCandidates(context, state, lastSeen);
  if (isFailing && !earlyExtensions && tenure) await requestExtensions(context, state, tenure);
  if (isFailing) await readBack(context, state);
  await earlyExtensions;
}
