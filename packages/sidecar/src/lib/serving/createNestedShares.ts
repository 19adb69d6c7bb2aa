import type { Clock } from '@buckthornslip/common';

/**
 * Time constant with which runs are forgotten, in milliseconds; 95% of the weight is on the last second. With 500 ms entry
 * nodes noticed new capacity half a second later.
 */
const MEMORY_MILLISECONDS = 300;

/** Time after which a route without runs is forgotten, in milliseconds. */
const IDLE_MILLISECONDS = 10_000;

/** Routes that are counted at once. Routes come and go with policies; further ones are not counted. */
const MAXIMUM_ROUTES = 512;

/** Runs, after weighting, below which no share is reported, so that a single refused run does not look like an overload. */
const MINIMUM_RUNS = 1.5;

/** Lowest share that is reported, because 0 means on the wire that the share is not known. */
const MINIMUM_REPORTED_SHARE = 0.01;

/** A run that has ended. */
interface EndedRun {
  readonly route: string;
  /** Whether the run made a nested call. */
  readonly isParent: boolean;
  /** Whether the run failed because a call below it was refused for lack of capacity. */
  readonly isRefused: boolean;
}

/**
 * Share of the recent runs of the local upstream whose nested calls were not refused for lack of capacity.
 *
 * @internal
 */
export interface NestedShares {
  readonly record: (run: EndedRun) => void;
  /**
   * @param route - Name of the route.
   * @returns The share, above 0 and up to 1; undefined if the route makes no nested calls or had no recent run.
   */
  readonly shareOf: (route: string) => number | undefined;
}

/** Runs of one route, weighted by age. */
interface RouteCount {
  runs: number;
  refused: number;
  updatedMilliseconds: number;
}

/**
 * Creates the counts of a serving node. A route is counted from its first run that makes a nested call.
 *
 * @param clock - Source of monotonic time.
 * @returns Counts without a run.
 * @internal
 */
export function createNestedShares(clock: Clock): NestedShares {
  const routes = new Map<string, RouteCount>();

  const forgetIdle = (now: number): void => {
    routes.forEach(({ updatedMilliseconds }, route) => {
      if (now - updatedMilliseconds >= IDLE_MILLISECONDS) routes.delete(route);
    });
  };

  const add = (route: string, now: number): RouteCount | undefined => {
    if (routes.size >= MAXIMUM_ROUTES) forgetIdle(now);
    if (routes.size >= MAXIMUM_ROUTES) return undefined;
    const count = { runs: 0, refused: 0, updatedMilliseconds: now };
    routes.set(route, count);
    return count;
  };

  const weightOf = (count: RouteCount, now: number): number =>
    Math.exp((count.updatedMilliseconds - now) / MEMORY_MILLISECONDS);

  return {
    record: ({ isParent, isRefused, route }) => {
      const now = clock.monotonicMilliseconds();
      const count = routes.get(route) ?? (isParent ? add(route, now) : undefined);
      if (!count) return;
      const weight = weightOf(count, now);
      count.runs = count.runs * weight + 1;
      count.refused = count.refused * weight + (isRefused ? 1 : 0);
      count.updatedMilliseconds = now;
    },
    shareOf: (route) => {
      const count = routes.get(route);
      if (!count) return undefined;
      const weight = weightOf(count, clock.monotonicMilliseconds());
      if (count.runs * weight < MINIMUM_RUNS) return undefined;
      return Math.max(MINIMUM_REPORTED_SHARE, 1 - count.refused / count.runs);
    },
  };
}
