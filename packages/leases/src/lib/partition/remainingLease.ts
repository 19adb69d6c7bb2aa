import type { Clock } from '@buckthornslip/common';

import type { PartitionState } from './PartitionState';

/**
 * @returns Time for which this node still holds the lease of an epoch, in milliseconds; zero or less if it
 *   does not hold it.
 * @internal
 */
export function remainingLease(clock: Clock, state: PartitionState, epoch: number): number {
  const { tenure, isClosing } = state;
  if (isClosing || tenure?.epoch !== epoch) return 0;
  return tenure.validUntilMilliseconds - clock.monotonicMilliseconds();
}
