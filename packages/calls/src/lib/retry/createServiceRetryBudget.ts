import type { Clock, ServiceId } from '@buckthornslip/common';

import type { ServiceRetryBudget } from './ServiceRetryBudget';

/** Retries allowed for each first attempt. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1;

/** Retries per second allowed in addition, so that a service with few calls can retry at all. */
const MINIMUM_RETRIES_PER_SECOND = 1;

/** Maximum number of saved retries. Without it, a long time without failures would allow a burst of retries. */
const MAXIMUM_SAVED_RETRIES = 20;

const MILLISECONDS_PER_SECOND = 1_000;

interface Bucket {
  tokens: number;
  updatedMilliseconds: number;
}

/**
 * Creates the service retry budgets of one node, as token buckets.
 *
 * @param clock - Source of monotonic time.
 * @returns The budgets.
 * @internal
 */
export function createServiceRetryBudget(clock: Clock): ServiceRetryBudget {
  const buckets = new Map<ServiceId, Bucket>();

  const refilled = (service: ServiceId): Bucket => {
    const nowMilliseconds = clock.monotonicMilliseconds();
    const bucket = buckets.get(service) ?? {
      tokens: MINIMUM_RETRIES_PER_SECOND,
      updatedMilliseconds: nowMilliseconds,
    };
    buckets.set(service, bucket);
    const elapsedSeconds = (nowMilliseconds - bucket.updatedMilliseconds) / MILLISECONDS_PER_SECOND;
    const refill = elapsedSeconds * MINIMUM_RETRIES_PER_SECOND;
    bucket.tokens = Math.min(MAXIMUM_SAVED_RETRIES, bucket.tokens + refill);
    bucket.updatedMilliseconds = nowMilliseconds;
    return bucket;
  };

  const add = (service: ServiceId, tokens: number): void => {
    const bucket = refilled(service);
    bucket.tokens = Math.min(MAXIMUM_SAVED_RETRIES, bucket.tokens + tokens);
  };

  return {
    countFirstAttempt: (service) => add(service, RETRIES_PER_FIRST_ATTEMPT),
    spend: (service) => {
      const bucket = refilled(service);
      if (bucket.tokens < 1) return false;
      bucket.tokens -= 1;
      return true;
    },
    refund: (service) => add(service, 1),
  };
}
