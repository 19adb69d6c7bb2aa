import { extendLease } from './extendLease';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState, PendingWrite, Tenure } from './PartitionState';

function beginTenure(
  context: LeaseContext,
  state: PartitionState,
  pendingWrite: PendingWrite,
): Tenure {
  const { clock, logger } = context;
  const { epoch } = pendingWrite.record;
  const { startedWithoutState, sentMilliseconds } = pendingWrite;
  logger.log('leaseTaken', {
    partition: state.partition,
    epoch,
    startedAsStranger: startedWithoutState,
  });
  state.prepared.clear();
  state.excluded.clear();
  return {
    epoch,
    startedWithoutState,
    takenAtWallMilliseconds: clock.wallMilliseconds(),
    validUntilMilliseconds: Number.NEGATIVE_INFINITY,
    renewedMilliseconds: sentMilliseconds,
  };
}

/**
 * Handles a write of this node as the holder that the store has applied: extends the lease from the time at
 * which the write was sent.
 *
 * @internal
 */
export function confirmWrite(
  context: LeaseContext,
  state: PartitionState,
  pendingWrite: PendingWrite,
): void {
  const { epoch, handedOver } = pendingWrite.record;
  if (handedOver) return;
  const tenure =
    state.tenure?.epoch === epoch ? state.tenure : beginTenure(context, state, pendingWrite);
  const { sentMilliseconds } = pendingWrite;
  const renewedMilliseconds = Math.max(tenure.renewedMilliseconds, sentMilliseconds);
  state.update({ tenure: { ...tenure, renewedMilliseconds } });
  extendLease(context, state, sentMilliseconds);
}
