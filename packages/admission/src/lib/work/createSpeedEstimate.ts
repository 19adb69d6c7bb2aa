/** Time constant of the recent speed, in milliseconds: upstreams change their speed within a second. */
const RECENT_MILLISECONDS = 500;

/** Time constant of the usual speed, in milliseconds. */
const USUAL_MILLISECONDS = 10_000;

/** Calls that the usual speed counts for. Service times vary by about their mean, so fewer recent calls say little. */
const USUAL_CALLS = 8;

/** Calls of speed 1 that the usual speed starts from. */
const INITIAL_CALLS = 8;

/** Weight of the calls below which the usual speed is forgotten, so that no sum underflows to 0 before the others. */
const FORGOTTEN_CALLS = 1e-9;

/** Largest deviation of a speed from 1, as a factor. */
const MAXIMUM_RATIO = 8;

/**
 * Speed of the local upstream: expected cost of its calls in the fleet, divided by the time that it took for them.
 *
 * @internal
 */
export interface SpeedEstimate {
  /**
   * @param costMilliseconds - Expected cost of a call that ended.
   * @param tookMilliseconds - Time that the upstream took for it.
   */
  readonly add: (costMilliseconds: number, tookMilliseconds: number) => void;
  /** @returns Above 1 for a fast upstream; 1 without samples. */
  readonly current: () => number;
  /** @returns The higher one of the recent and the usual speed, which a slow phase may return to at any moment. */
  readonly highest: () => number;
}

function limit(speed: number): number {
  return Math.min(MAXIMUM_RATIO, Math.max(1 / MAXIMUM_RATIO, speed));
}

/**
 * @param now - Returns monotonic time in milliseconds.
 * @returns A speed of 1.
 * @internal
 */
export function createSpeedEstimate(now: () => number): SpeedEstimate {
  let recentCost = 0;
  let recentTime = 0;
  let usualCost = 0;
  let usualTime = 0;
  let usualCalls = 0;
  let updated = now();

  const decay = (): void => {
    const elapsed = now() - updated;
    if (elapsed <= 0) return;
    updated += elapsed;
    const recentShare = Math.exp(-elapsed / RECENT_MILLISECONDS);
    const usualShare = Math.exp(-elapsed / USUAL_MILLISECONDS);
    recentCost *= recentShare;
    recentTime *= recentShare;
    usualCost *= usualShare;
    usualTime *= usualShare;
    usualCalls *= usualShare;
  };

  const usual = (): number => {
    if (usualCalls < FORGOTTEN_CALLS) return 1;
    const prior = (INITIAL_CALLS * usualCost) / usualCalls;
    return limit((usualCost + prior) / (usualTime + prior));
  };

  const current = (): number => {
    decay();
    if (usualCalls < FORGOTTEN_CALLS) return 1;
    const weight = (USUAL_CALLS * usualCost) / usualCalls;
    return limit((recentCost + weight) / (recentTime + weight / usual()));
  };

  return {
    add: (cost, took) => {
      if (!(cost > 0)) return;
      decay();
      recentCost += cost;
      recentTime += took;
      usualCost += cost;
      usualTime += took;
      usualCalls += 1;
    },
    current,
    highest: () => Math.max(current(), usual()),
  };
}
