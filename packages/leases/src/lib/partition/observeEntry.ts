import { isSameNode } from '@buckthornslip/common';
import type { StoreEntry } from '@buckthornslip/platform';

import type { LeaseRecord } from '../manager/LeaseRecord';
import { decodeLeaseRecord } from '../record/decodeLeaseRecord';
import { confirmWrite } from './confirmWrite';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState } from './PartitionState';
import { publishHeldLease } from './publishHeldLease';

function observeAbsence(context: LeaseContext, state: PartitionState): void {
  const now = context.clock.monotonicMilliseconds();
  const absentSinceMilliseconds = state.absentSinceMilliseconds ?? now;
  state.update({ lastSeen: undefined, absentSinceMilliseconds, tenure: undefined });
  publishHeldLease(context, state);
}

/** Discards pending writes that expect another revision, since the store can no longer apply them. */
function dropImpossibleWrites(state: PartitionState, revision: number): void {
  if (state.pendingTakeoverRevision !== undefined && state.pendingTakeoverRevision !== revision) {
    state.update({ pendingTakeoverRevision: undefined });
  }
  if ((state.lastSeen?.revision ?? 0) !== revision) state.pendingWrites.clear();
}

/**
 * Updates the state with a lease record that the store contains.
 *
 * @internal
 */
export function observeRecord(
  context: LeaseContext,
  state: PartitionState,
  record: LeaseRecord,
  revision: number,
): void {
  const { clock, incarnations, self } = context;
  if (state.lastSeen && revision < state.lastSeen.revision) return;
  const pendingWrite = state.pendingWrites.get(record.renewal);
  dropImpossibleWrites(state, revision);
  const highestEpoch = Math.max(state.highestEpoch, record.epoch);
  state.update({ absentSinceMilliseconds: undefined, highestEpoch });
  [record.holder, ...record.candidates].forEach(incarnations.add);
  if (state.lastSeen?.revision !== revision) {
    const firstSeenMilliseconds = clock.monotonicMilliseconds();
    state.update({ lastSeen: { record, revision, firstSeenMilliseconds } });
  }
  const isOwn = isSameNode(record.holder, self);
  if (isOwn && pendingWrite && pendingWrite.record.epoch === record.epoch) {
    confirmWrite(context, state, pendingWrite);
  }
  if (!isOwn && state.tenure) {
    state.update({ tenure: undefined });
    publishHeldLease(context, state);
  }
}

/**
 * Updates the state with the store entry of a partition, which may be absent.
 *
 * @internal
 */
export function observeEntry(
  context: LeaseContext,
  state: PartitionState,
  entry: StoreEntry | undefined,
): void {
  state.update({ lastAnswerMilliseconds: context.clock.monotonicMilliseconds() });
  if (!entry) {
    dropImpossibleWrites(state, 0);
    observeAbsence(context, state);
    return;
  }
  const record = decodeLeaseRecord(entry.value);
  if (record) observeRecord(context, state, record, entry.revision);
  else context.logger.log('leaseRecordInvalid', { partition: state.partition });
}
