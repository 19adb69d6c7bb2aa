import type { Result } from '@buckthornslip/common';
import type { StoreError, StoreRevision } from '@buckthornslip/platform';

import type { LeaseRecord } from '../manager/LeaseRecord';
import { encodeLeaseRecord } from '../record/encodeLeaseRecord';
import { leaseKey } from '../record/leaseKey';
import type { LeaseContext } from './LeaseContext';
import { observeEntry, observeRecord } from './observeEntry';
import type { PartitionState } from './PartitionState';
import { publishHeldLease } from './publishHeldLease';

/**
 * Writes the record under a new renewal number, on condition that the store still has the last seen
 * revision.
 *
 * @param context - Dependencies of the lease manager.
 * @param state - The partition.
 * @param fields - The record without its renewal number.
 * @param startedWithoutState - For a takeover: whether this node lacks the earlier holder's state.
 * @internal
 */
export async function writeRecord(
  context: LeaseContext,
  state: PartitionState,
  fields: Omit<LeaseRecord, 'renewal'>,
  startedWithoutState: boolean,
): Promise<Result<StoreRevision, StoreError>> {
  const renewal = state.lastRenewal + 1;
  const record = { ...fields, renewal };
  state.update({ lastRenewal: renewal });
  const sentMilliseconds = context.clock.monotonicMilliseconds();
  state.pendingWrites.set(record.renewal, { record, sentMilliseconds, startedWithoutState });
  // Users of the held lease must see new candidates before the write can take effect.
  publishHeldLease(context, state);
  const expectedRevision = state.lastSeen?.revision ?? 0;
  const key = leaseKey(state.partition);
  const result = await context.write(key, expectedRevision, encodeLeaseRecord(record));
  if (result.ok) {
    state.update({ lastAnswerMilliseconds: context.clock.monotonicMilliseconds() });
    observeRecord(context, state, record, result.value);
  } else if (result.error.kind === 'conflict') {
    observeEntry(context, state, result.error.current);
  }
  return result;
}
