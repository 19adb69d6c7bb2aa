import type { Clock } from '@buckthornslip/common';

import { coldStartCapacity } from './coldStartCapacity';
import type { StartRate } from './createStartRate';
import { createStartRate } from './createStartRate';
import type { RateLimitSource } from './RateLimitSource';

/**
 * Limits of calls per second from several sources, all of which apply.
 *
 * @internal
 */
export interface StartRates extends Omit<StartRate, 'setLimit'> {
  /** @param perSecond - Calls per second; undefined for no limit. */
  readonly setLimit: (source: RateLimitSource, perSecond: number | undefined) => void;
}

/**
 * Creates one token bucket for each source. Separate buckets keep the limits exact when one of them begins or ends.
 *
 * @param clock - Source of time.
 * @returns Rates without a limit.
 * @internal
 */
export function createStartRates(clock: Clock): StartRates {
  const stated = createStartRate(clock);
  const cold = createStartRate(clock, coldStartCapacity);
  const rates: Readonly<Record<RateLimitSource, StartRate>> = { stated, cold };
  return {
    setLimit: (source, perSecond) => rates[source].setLimit(perSecond),
    perSecond: () => Math.min(stated.perSecond(), cold.perSecond()),
    delayMilliseconds: () => Math.max(stated.delayMilliseconds(), cold.delayMilliseconds()),
    start: () => {
      stated.start();
      cold.start();
    },
  };
}
