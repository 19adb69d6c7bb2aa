import type { LeaseContext } from './LeaseContext';
import type { PartitionState } from './PartitionState';
import { publishHeldLease } from './publishHeldLease';

/**
 * Extends the lease of the current tenure to the holder's term after a send time, but to no more than
 * `maximumOutage` after the last renewal in the store.
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
  // A lease that expired while the process was paused is reported as ended before it is extended.
  publishHeldLease(context, state);
  const validUntilMilliseconds = Math.min(
    Math.max(tenure.validUntilMilliseconds, sentMilliseconds + durations.holderTerm),
    tenure.renewedMilliseconds + durations.maximumOutage,
  );
  state.update({ tenure: { ...tenure, validUntilMilliseconds } });
  publishHeldLease(context, state);
}
