import type { ServiceId } from '@buckthornslip/common';

/** Properties of a call that decide whether it may use a scarce retry. */
export interface RetryClaim {
  /** Priority rank; 0 is the most urgent. */
  readonly rank: number;
  /** Nested calls of the same parent that have already completed. If this call fails, their work is wasted. */
  readonly finishedSiblings: number;
}

/** Limits the retries that this node sends to each service. */
export interface ServiceRetryBudget {
  readonly countFirstAttempt: (service: ServiceId) => void;
  /**
   * @param service - Service of the call.
   * @param claim - Properties of the call that decide when retries are scarce.
   * @returns Whether a retry may be sent to the service; if so, it has been spent.
   */
  readonly trySpend: (service: ServiceId, claim: RetryClaim) => boolean;
}

/** Settings of a retry budget. */
export interface ServiceRetryBudgetSettings {
  /** Retries allowed for each first attempt. */
  readonly ratio: number;
  /** Most unused retries that accumulate for a service at this node. */
  readonly burst: number;
}

/**
 * Share of the budget above one retry that is reserved for calls with more finished siblings, indexed by the number of
 * finished siblings. Of the values tried in the simulation of this file's test, these served the most parents with four
 * nested calls.
 */
const RESERVED_BY_SIBLINGS: readonly number[] = [1, 0.83, 0.42];

/**
 * Share reserved for more urgent calls, indexed by rank: the two ranks of urgent accounts take precedence over all
 * others.
 */
const RESERVED_BY_RANK: readonly number[] = [0, 0.5];

/** Less urgent calls may retry only while the budget is full. */
const RESERVED_FROM_LOW_RANKS = 1;

function reservedShare({ finishedSiblings, rank }: RetryClaim): number {
  const forSiblings = RESERVED_BY_SIBLINGS[finishedSiblings] ?? 0;
  const forUrgent = RESERVED_BY_RANK[rank] ?? RESERVED_FROM_LOW_RANKS;
  return Math.max(forSiblings, forUrgent);
}

/**
 * Creates a retry budget. Each node retries in proportion to its own first attempts, which bounds the ratio of the
 * whole fleet without coordination between nodes. If upstreams reject a share of all calls, a parent with several
 * nested calls fails unless each of them succeeds; scarce retries therefore go to urgent calls and to parents that are
 * nearly done.
 *
 * @param settings - Ratio and burst.
 * @returns A budget with full buckets.
 * @internal
 */
export function createServiceRetryBudget(settings: ServiceRetryBudgetSettings): ServiceRetryBudget {
  const { ratio, burst } = settings;
  const tokens = new Map<ServiceId, number>();
  return {
    countFirstAttempt: (service) => {
      tokens.set(service, Math.min(burst, (tokens.get(service) ?? burst) + ratio));
    },
    trySpend: (service, claim) => {
      const remaining = tokens.get(service) ?? burst;
      if (remaining < 1 + (burst - 1) * reservedShare(claim)) return false;
      tokens.set(service, remaining - 1);
      return true;
    },
  };
}
