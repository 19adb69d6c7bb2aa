import type { Clock, Priority } from '@buckthornslip/common';
import { createTokenBucket } from '@buckthornslip/common';

import type { LinkBudget } from './LinkBudget';
import type { LinkBudgetSettings } from './LinkBudgetSettings';
import { LARGE_BODY_RESERVED_SHARE, reservedShares } from './reservedShares';

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
  const rate = { tokensPerSecond: bytesPerSecond, capacity: burstBytes };
  const bucket = createTokenBucket(clock, () => rate, burstBytes);

  const reservedBytes = (bodyBytes: number, priority: Priority): number => {
    const share = reservedShares[priority];
    const isLarge = bodyBytes > largeBodyBytes;
    return burstBytes * (isLarge ? Math.max(share, LARGE_BODY_RESERVED_SHARE) : share);
  };

  return {
    tryTake: (bytes, bodyBytes, priority) => {
      if (bucket.available() - bytes < reservedBytes(bodyBytes, priority)) return false;
      bucket.take(bytes);
      return true;
    },
    reconcile: (takenBytes, transferredBytes) => bucket.take(transferredBytes - takenBytes),
  };
}
