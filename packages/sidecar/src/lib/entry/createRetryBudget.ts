import type { ServiceId } from '@buckthornslip/common';

/** What speaks for the retry of a call. */
export interface RetryClaim {
  /** Level of urgency, 0 for the most urgent. */
  readonly rank: number;
  /** Calls that have already been finished for the same parent. A retry saves their work too. */
  readonly finishedSiblings: number;
}

/** Bound on retries that a service may get from this node. */
export interface RetryBudget {
  readonly countFirstAttempt: (service: ServiceId) => void;
  /**
   * @param service - Service of the call.
   * @param claim - What speaks for the retry when there are too few.
   * @returns Whether one more attempt may be sent to an upstream of the service.
   */
  readonly take: (service: ServiceId, claim: RetryClaim) => boolean;
}

/** How many retries are allowed. */
export interface RetryBudgetSettings {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  /** Most retries that may accumulate at this node. */
  readonly burst: number;
}

/**
 * Share of the savings above one retry that is kept for calls with more finished siblings, by their number. Of the values
 * tried in this file's load test, these served most parents of four calls.
 */
const RESERVED_BY_SIBLINGS: readonly number[] = [1, 0.83, 0.42];

/** The same for more urgent calls, by the level of urgency: the two levels of urgent accounts come before all others. */
const RESERVED_BY_RANK: readonly number[] = [0, 0.5];

/** Less urgent calls take a retry only from full savings. */
const RESERVED_FROM_OTHERS = 1;

function reservedShare({ finishedSiblings, rank }: RetryClaim): number {
  const forSiblings = RESERVED_BY_SIBLINGS[finishedSiblings] ?? 0;
  const forUrgent = RESERVED_BY_RANK[rank] ?? RESERVED_FROM_OTHERS;
  return Math.max(forSiblings, forUrgent);
}

/**
 * Creates the bound on retries. Each node repeats in proportion to its own first attempts, which keeps the ratio of the
 * whole fleet without a message between nodes. It answers to upstreams that reject a share of all calls: a parent with
 * several nested calls then fails unless each of them gets through, so that scarce retries go to urgent calls and to
 * parents that are nearly done.
 *
 * @param settings - Ratio and savings.
 * @returns A budget with full buckets.
 * @internal
 */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
  const { ratio, burst } = settings;
  const tokens = new Map<ServiceId, number>();
  return {
    countFirstAttempt: (service) => {
      tokens.set(service, Math.min(burst, (tokens.get(service) ?? burst) + ratio));
    },
    take: (service, claim) => {
      const left = tokens.get(service) ?? burst;
      if (left < 1 + (burst - 1) * reservedShare(claim)) return false;
      tokens.set(service, left - 1);
      return true;
    },
  };
}
