import type { Clock, Priority } from '@buckthornslip/common';

import type { LinkBudget } from './LinkBudget';
import type { LinkBudgetSettings } from './LinkBudgetSettings';
import { LARGE_BODY_RESERVED_SHARE, reservedShares } from './reservedShares';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates the budget of one region pair as a token bucket of bytes. Calls that turn out larger than expected overdraw
 * the bucket, and later calls are refused until it is refilled.
 *
 * @param clock - Source of time.
 * @param settings - Rate, burst and size of large bodies.
 * @returns A full budget.
 * @internal
 */
export function createLinkBudget(clock: Clock, settings: LinkBudgetSettings): LinkBudget {
  const { bytesPerSecond, burstBytes, largeBodyBytes } = settings;
  let availableBytes = burstBytes;
  let refilledAt = clock.monotonicMilliseconds();

  const refill = (): void => {
    const now = clock.monotonicMilliseconds();
    const gainedBytes = ((now - refilledAt) * bytesPerSecond) / MILLISECONDS_PER_SECOND;
    availableBytes = Math.min(burstBytes, availableBytes + gainedBytes);
    refilledAt = now;
  };

  const reservedBytes = (bodyBytes: number, priority: Priority): number => {
    const share = reservedShares[priority];
    const isLarge = bodyBytes > largeBodyBytes;
    return burstBytes * (isLarge ? Math.max(share, LARGE_BODY_RESERVED_SHARE) : share);
  };

  return {
    tryTake: (bytes, bodyBytes, priority) => {
      refill();
      if (availableBytes - bytes < reservedBytes(bodyBytes, priority)) return false;
      availableBytes -= bytes;
      return true;
    },
    reconcile: (takenBytes, transferredBytes) => {
      refill();
      availableBytes = Math.min(burstBytes, availableBytes + takenBytes - transferredBytes);
    },
  };
}
