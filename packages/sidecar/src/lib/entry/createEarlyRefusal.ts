import type { Clock, RandomSource } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { RouteShare } from './createRouteShare';
import { createRouteShare } from './createRouteShare';
import { spreadRetryAfter } from './spreadRetryAfter';

/** Reported share below which a route is controlled. */
const LOW_SHARE = 0.9;

/** Time after which a route that lets all calls through is forgotten, in milliseconds. */
const IDLE_MILLISECONDS = 10_000;

/** Routes that are controlled at once. Routes come and go with policies; calls of further ones are let through. */
const MAXIMUM_ROUTES = 256;

/** Interval at which idle routes are looked for, in milliseconds. */
const SWEEP_MILLISECONDS = 1_000;

/** Shortest time between two log lines of the same event, in milliseconds. */
const LOG_MILLISECONDS = 10_000;

/** Dependencies of early refusal. */
interface EarlyRefusalOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
}

/**
 * Decides at the entry node whether there is probably capacity for the nested calls of a call.
 *
 * @internal
 */
export interface EarlyRefusal {
  /** @returns Whether a call is let through. */
  readonly admits: (route: string, rank: number) => boolean;
  /** @param share - Share of the runs that passed, as a serving node has reported it; undefined if it reported none. */
  readonly record: (route: string, share: number | undefined) => void;
  /**
   * @param remainingMilliseconds - Time that the caller has left.
   * @returns Delay for a call that was not let through, in milliseconds; it needs no further jitter.
   */
  readonly retryAfterMilliseconds: (
    route: string,
    rank: number,
    remainingMilliseconds: number,
  ) => number;
  /** @returns Routes of which some calls are refused. */
  readonly reducedRoutes: () => number;
}

/**
 * Creates the early refusal of an entry node. It combines the reports of all serving nodes of a route into the share of its
 * calls that is let through. A route without reports of refused nested calls has no state and is let through.
 *
 * @param options - Clock, random source and logger.
 * @returns The decision, which admits all calls until there are reports.
 * @internal
 */
export function createEarlyRefusal({ clock, logger, random }: EarlyRefusalOptions): EarlyRefusal {
  const routes = new Map<string, RouteShare>();
  let sweptMilliseconds = 0;
  let isReduced = false;
  let loggedMilliseconds = Number.NEGATIVE_INFINITY;

  const reducedRoutes = (): number => {
    const now = clock.monotonicMilliseconds();
    let count = 0;
    routes.forEach((routeShare) => {
      if (routeShare.update(now) < 1) count += 1;
    });
    return count;
  };

  const sweep = (now: number): void => {
    if (routes.size === 0 || now - sweptMilliseconds < SWEEP_MILLISECONDS) return;
    sweptMilliseconds = now;
    routes.forEach((routeShare, route) => {
      const isIdle = now - routeShare.lowMilliseconds() >= IDLE_MILLISECONDS;
      if (isIdle && routeShare.update(now) >= 1) routes.delete(route);
    });
    if (!isReduced || reducedRoutes() > 0) return;
    isReduced = false;
    logger.log('earlyRefusalEnded', {});
  };

  const logReduced = (route: string, reportedShare: number, now: number): void => {
    if (isReduced || now - loggedMilliseconds < LOG_MILLISECONDS) return;
    isReduced = true;
    loggedMilliseconds = now;
    logger.log('earlyRefusalStarted', { route, reportedShare });
  };

  const add = (route: string, now: number): RouteShare | undefined => {
    if (routes.size >= MAXIMUM_ROUTES) return undefined;
    const routeShare = createRouteShare(now);
    routes.set(route, routeShare);
    return routeShare;
  };

  return {
    admits: (route, rank) => {
      const routeShare = routes.get(route);
      if (!routeShare) return true;
      routeShare.countArrival(rank);
      if (routeShare.update(clock.monotonicMilliseconds()) >= 1) return true;
      const share = routeShare.shareOf(rank);
      return share >= 1 || random.next() < share;
    },
    record: (route, share) => {
      if (share === undefined) return;
      const now = clock.monotonicMilliseconds();
      sweep(now);
      const routeShare = routes.get(route) ?? (share < LOW_SHARE ? add(route, now) : undefined);
      if (!routeShare) return;
      routeShare.record(share, now);
      if (routeShare.update(now) < 1) logReduced(route, share, now);
    },
    retryAfterMilliseconds: (route, rank, remainingMilliseconds) => {
      const waitMilliseconds = routes.get(route)?.millisecondsToCapacity(rank) ?? 0;
      return spreadRetryAfter(random, { rank, remainingMilliseconds, waitMilliseconds });
    },
    reducedRoutes,
  };
}
