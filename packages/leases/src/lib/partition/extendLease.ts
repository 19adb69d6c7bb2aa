import type { LeaseContext } from './LeaseContext';
import type { PartitionState } from './PartitionState';
import { publishHeldLease } from './publishHeldLease';

/**
 * Extends the hold of the present tenure to a term after a send time, but never beyond `maximumOutage`
 * after the last renewal in the store.
 *
 * @internal
 */
export function extendLease(
  context: LeaseContext,
  state: PartitionState,
  sentMilliseconds: number,
): void {
  const { durations } = context;
  const { tenure } = state;
  if (!tenure) return;
  // A hold that lapsed while the process was paused is reported as ended before it is resumed.
  publishHeldLease(context, state);
  const validUntilMilliseconds = Math.min(
    Math.max(tenure.validUntilMilliseconds, sentMilliseconds + durations.holderTerm),
    tenure.renewedMilliseconds + durations.maximumOutage,
  );
  state.update({ tenure: { ...tenure, validUntilMilliseconds } });
  publishHeldLease(context, state);
}
