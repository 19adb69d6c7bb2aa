import type { LeaseContext } from './LeaseContext';
import { extendHold } from './extendHold';
import type { PartitionState, Tenure, WriteAttempt } from './PartitionState';

function beginTenure(context: LeaseContext, state: PartitionState, attempt: WriteAttempt): Tenure {
  const { clock, logger } = context;
  const { epoch } = attempt.record;
  const { startedWithoutState, sentMilliseconds } = attempt;
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
    holdUntilMilliseconds: Number.NEGATIVE_INFINITY,
    renewedMilliseconds: sentMilliseconds,
  };
}

/**
 * Notes that the store has a write of this node as holder, and extends the hold from its send time.
 *
 * @internal
 */
export function confirmWrite(
  context: LeaseContext,
  state: PartitionState,
  attempt: WriteAttempt,
): void {
  const { epoch, handedOver } = attempt.record;
  if (handedOver) return;
  const tenure =
    state.tenure?.epoch === epoch ? state.tenure : beginTenure(context, state, attempt);
  const { sentMilliseconds } = attempt;
  const renewedMilliseconds = Math.max(tenure.renewedMilliseconds, sentMilliseconds);
  state.update({ tenure: { ...tenure, renewedMilliseconds } });
  extendHold(context, state, sentMilliseconds);
}
