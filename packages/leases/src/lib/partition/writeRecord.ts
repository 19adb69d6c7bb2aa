import type { Result } from '@buckthornslip/common';
import type { StoreError, StoreRevision } from '@buckthornslip/platform';

import type { LeaseRecord } from '../manager/LeaseRecord';
import { encodeLeaseRecord } from '../record/encodeLeaseRecord';
import { leaseKey } from '../record/leaseKey';
import type { LeaseContext } from './LeaseContext';
import { observeEntry, observeRecord } from './observeEntry';
import type { PartitionState } from './PartitionState';
import { publishHold } from './publishHold';

/**
 * Writes the record on the revision last seen, under a new renewal number.
 *
 * @param context - The lease manager.
 * @param state - The partition.
 * @param fields - The record without its renewal number.
 * @param startedWithoutState - For a takeover: whether the earlier holder's state is unknown.
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
  state.attempts.set(record.renewal, { record, sentMilliseconds, startedWithoutState });
  // New candidates are shown to the users of the hold before they can become effective.
  publishHold(context, state);
  const expectedRevision = state.seen?.revision ?? 0;
  const key = leaseKey(state.partition);
  const result = await context.write(key, expectedRevision, encodeLeaseRecord(record));
  if (result.ok) {
    state.update({ answeredMilliseconds: context.clock.monotonicMilliseconds() });
    observeRecord(context, state, record, result.value);
  } else if (result.error.kind === 'conflict') {
    observeEntry(context, state, result.error.current);
  }
  return result;
}
