import type { ServiceId } from '@buckthornslip/common';

/** Bound on retries that a service may get from this node. */
export interface RetryAllowance {
  readonly countFirstAttempt: (service: ServiceId) => void;
  /**
   * @param service - Service of the call.
   * @param finishedSiblings - Calls that have already been finished for the same parent. A retry saves their work too.
   * @returns Whether one more attempt may be sent to an upstream of the service.
   */
  readonly take: (service: ServiceId, finishedSiblings: number) => boolean;
}

/** How many retries are allowed. */
export interface RetryAllowanceSettings {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  /** Retries that may be saved up at this node. */
  readonly saved: number;
}

/** Share of the savings that is kept for calls with more finished siblings, by the number of finished siblings. */
const RESERVED_SHARES: readonly number[] = [0.6, 0.5, 0.25];

/**
 * Creates the bound on retries. Each node repeats in proportion to its own first attempts, which keeps the ratio of the
 * whole fleet without a message between nodes. It answers to upstreams that reject a share of all calls: a parent with several
 * nested calls then fails unless each of them gets through, so that scarce retries go to the parents that are nearly done.
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
    take: (service, finishedSiblings) => {
      const { saved } = settings();
      const left = tokens.get(service) ?? saved;
      const reserved = saved * (RESERVED_SHARES[finishedSiblings] ?? 0);
      if (left < 1 + reserved) return false;
      tokens.set(service, left - 1);
      return true;
    },
  };
}
