import type { ServiceId } from '@buckthornslip/common';

/**
 * Limits the retries to each service to a fraction of its first attempts.
 *
 * @internal
 */
export interface ServiceRetryBudget {
  readonly countFirstAttempt: (service: ServiceId) => void;
  readonly spend: (service: ServiceId) => boolean;
  readonly refund: (service: ServiceId) => void;
}
