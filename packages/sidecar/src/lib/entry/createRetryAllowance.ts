import type { ServiceId } from '@buckthornslip/common';

/** Bound on retries that a service may get from this node. */
export interface RetryAllowance {
  readonly countFirstAttempt: (service: ServiceId) => void;
  /** @returns Whether one more attempt may be sent to an upstream of the service. */
  readonly take: (service: ServiceId) => boolean;
}

/** How many retries are allowed. */
export interface RetryAllowanceSettings {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  /** Retries that may be saved up at this node. */
  readonly saved: number;
}

/**
 * Creates the bound on retries. Each node repeats in proportion to its own first attempts, which keeps the ratio of the
 * whole fleet without a message between nodes.
 *
 * @param settings - Ratio and savings.
 * @returns The allowance.
 * @internal
 */
export function createRetryAllowance(settings: () => RetryAllowanceSettings): RetryAllowance {
  const tokens = new Map<ServiceId, number>();
  return {
    countFirstAttempt: (service) => {
      const { ratio, saved } = settings();
      tokens.set(service, Math.min(saved, (tokens.get(service) ?? saved) + ratio));
    },
    take: (service) => {
      const left = tokens.get(service) ?? settings().saved;
      if (left < 1) return false;
      tokens.set(service, left - 1);
      return true;
    },
  };
}
