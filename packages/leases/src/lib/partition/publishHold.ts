import type { HeldLease } from '../manager/HeldLease';
import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import type { PartitionState } from './PartitionState';
import { possibleCandidates } from './possibleCandidates';
import { remainingHold } from './remainingHold';

function createHold(context: LeaseContext, state: PartitionState): HeldLease | undefined {
  const { tenure, partition } = state;
  if (!tenure) return undefined;
  const { epoch, startedWithoutState, takenAtWallMilliseconds } = tenure;
  const remainingMilliseconds = (): number => remainingHold(context.clock, state, epoch);
  if (remainingMilliseconds() <= 0) return undefined;
  return {
    partition,
    epoch,
    candidates: possibleCandidates(state),
    startedWithoutState,
    takenAtWallMilliseconds,
    remainingMilliseconds,
  };
}

const describe = (hold: HeldLease | undefined): string =>
  hold ? [hold.epoch, ...hold.candidates.map(nodeKey)].join() : '';

/**
 * Emits the present hold if it has changed, and arranges for the emission when it lapses.
 *
 * @internal
 */
export function publishHold(context: LeaseContext, state: PartitionState): void {
  const { clock, logger } = context;
  const hold = createHold(context, state);
  const previous = state.holds.value;
  state.cancelLapseTimer();
  if (hold) {
    const lapse = (): void => publishHold(context, state);
    state.update({ cancelLapseTimer: clock.setTimer(hold.remainingMilliseconds(), lapse) });
  }
  if (describe(hold) === describe(previous)) return;
  if (previous && !hold) {
    logger.log('leaseEnded', { partition: state.partition, epoch: previous.epoch });
  }
  state.holds.next(hold);
}
