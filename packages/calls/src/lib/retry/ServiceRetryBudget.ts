import type { ServiceId } from '@buckthornslip/common';

/**
 * Bounds the retries to each service by a share of its first attempts.
 *
 * @internal
 */
export interface ServiceRetryBudget {
  readonly countFirstAttempt: (service: ServiceId) => void;
  readonly take: (service: ServiceId) => boolean;
  readonly refund: (service: ServiceId) => void;
}
