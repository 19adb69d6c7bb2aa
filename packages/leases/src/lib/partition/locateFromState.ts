import type { LeaseLocation } from '../manager/LeaseLocation';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState } from './PartitionState';
import { remainingLease } from './remainingLease';

/** Age, in terms, up to which a record that this node read is used to locate the holder. */
const FRESH_TERMS = 2;

/**
 * @returns The holder, if this node holds the lease itself or has read the record recently enough.
 * @internal
 */
export function locateFromState(
  context: LeaseContext,
  state: PartitionState,
): LeaseLocation | undefined {
  const { clock, durations, self } = context;
  const { lastSeen, lastAnswerMilliseconds, tenure } = state;
  if (tenure && remainingLease(clock, state, tenure.epoch) > 0) {
    const { host, incarnation, controlAddress } = self;
    return { holder: { host, incarnation }, epoch: tenure.epoch, controlAddress };
  }
  if (!lastSeen || lastSeen.record.handedOver || lastAnswerMilliseconds === undefined)
    return undefined;
  const ageMilliseconds = clock.monotonicMilliseconds() - lastAnswerMilliseconds;
  if (ageMilliseconds > FRESH_TERMS * durations.term) return undefined;
  const { host, incarnation, controlAddress } = lastSeen.record.holder;
  return { holder: { host, incarnation }, epoch: lastSeen.record.epoch, controlAddress };
}
