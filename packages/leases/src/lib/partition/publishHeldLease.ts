import type { HeldLease } from '../manager/HeldLease';
import type { LeaseContext } from './LeaseContext';
import { nodeKey } from './nodeKey';
import type { PartitionState } from './PartitionState';
import { possibleCandidates } from './possibleCandidates';
import { remainingLease } from './remainingLease';

function createHeldLease(context: LeaseContext, state: PartitionState): HeldLease | undefined {
  const { tenure, partition } = state;
  if (!tenure) return undefined;
  const { epoch, startedWithoutState, takenAtWallMilliseconds } = tenure;
  const remainingMilliseconds = (): number => remainingLease(context.clock, state, epoch);
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

const describe = (heldLease: HeldLease | undefined): string =>
  heldLease ? [heldLease.epoch, ...heldLease.candidates.map(nodeKey)].join() : '';

/**
 * Emits the held lease if it has changed, and sets a timer that emits its end when it expires.
 *
 * @internal
 */
export function publishHeldLease(context: LeaseContext, state: PartitionState): void {
  const { clock, logger } = context;
  const heldLease = createHeldLease(context, state);
  const previous = state.heldLease.value;
  state.cancelExpiryTimer();
  if (heldLease) {
    const expire = (): void => publishHeldLease(context, state);
    state.update({ cancelExpiryTimer: clock.setTimer(heldLease.remainingMilliseconds(), expire) });
  }
  if (describe(heldLease) === describe(previous)) return;
  if (previous && !heldLease) {
    logger.log('leaseEnded', { partition: state.partition, epoch: previous.epoch });
  }
  state.heldLease.next(heldLease);
}
