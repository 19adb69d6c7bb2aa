import type { Clock, RandomSource, ServiceId } from '@buckthornslip/common';

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
  /** Counts a call that is sent because a call above it is repeated. It can't be refused, so it may overdraw the budget. */
  readonly countRepeat: (service: ServiceId) => void;
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
  /** Most unused retries that accumulate for a service on all nodes together. */
  readonly burst: number;
}

/** Dependencies of a retry budget. */
interface ServiceRetryBudgetOptions extends ServiceRetryBudgetSettings {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** @returns Number of nodes that share the burst. */
  readonly nodeCount: () => number;
}

/** Tokens of one service. */
interface RetryTokens {
  count: number;
  /** Monotonic time of the last change, in milliseconds. */
  changedMilliseconds: number;
}

/** Most retries that a busy node saves if its part of the fleet's burst is smaller. */
const MINIMUM_CAPACITY = 1;

/**
 * Time constant with which a node's tokens return to its part of the fleet's burst, and with which overdrafts are forgiven, in
 * milliseconds. The load that earned or caused them is over by then.
 */
const DECAY_MILLISECONDS = 10_000;

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
 * whole fleet without coordination between nodes. A repeated call makes its nested calls again, which count as retries of the
 * services that they go to. If upstreams reject a share of all calls, a parent with several nested calls fails unless each of
 * them succeeds; scarce retries therefore go to urgent calls and to parents that are nearly done.
 *
 * @param options - Ratio, burst, clock and size of the fleet.
 * @returns A budget with full buckets.
 * @internal
 */
export function createServiceRetryBudget(options: ServiceRetryBudgetOptions): ServiceRetryBudget {
  const { clock, nodeCount, random, ratio } = options;
  const tokens = new Map<ServiceId, RetryTokens>();

  /** Part of the fleet's burst that this node may use; less than one retry in a large fleet. */
  const ownBurst = (): number => options.burst / Math.max(1, nodeCount());

  const tokensOf = (service: ServiceId): RetryTokens => {
    const now = clock.monotonicMilliseconds();
    const burst = ownBurst();
    const known = tokens.get(service) ?? { count: burst, changedMilliseconds: now };
    tokens.set(service, known);
    const decay = Math.exp((known.changedMilliseconds - now) / DECAY_MILLISECONDS);
    if (known.count < 0) known.count *= decay;
    else if (known.count > burst) known.count = burst + (known.count - burst) * decay;
    known.changedMilliseconds = now;
    return known;
  };

  /** @returns Tokens that must be there for a claim. */
  const threshold = (claim: RetryClaim): number => {
    const burst = ownBurst();
    const reserved = reservedShare(claim);
    return burst < 1 ? burst * reserved : 1 + (burst - 1) * reserved;
  };

  return {
    countFirstAttempt: (service) => {
      const known = tokensOf(service);
      known.count = Math.min(Math.max(MINIMUM_CAPACITY, ownBurst()), known.count + ratio);
    },
    countRepeat: (service) => {
      tokensOf(service).count -= 1;
    },
    trySpend: (service, claim) => {
      const known = tokensOf(service);
      if (known.count <= 0 || known.count < threshold(claim)) return false;
      // A part of a token buys a retry with that probability, so that nodes with little traffic can retry too.
      const isSpent = known.count >= 1 || random.next() < known.count;
      known.count = Math.max(0, known.count - 1);
      return isSpent;
    },
  };
}
