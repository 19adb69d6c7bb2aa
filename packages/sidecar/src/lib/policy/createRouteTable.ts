import type { RandomSource, ServiceId } from '@buckthornslip/common';
import type { CallPolicy, PolicyRoute, PolicyTarget } from '@buckthornslip/config';

/** A route with the state of its weighted round robin. */
export interface RouteEntry {
  readonly route: PolicyRoute;
  /** @returns The service for the next request, by the weights of the targets. */
  readonly nextService: () => ServiceId;
}

/**
 * Matches requests to routes.
 *
 * @public
 */
export interface RouteTable {
  /**
   * @param host - Host header as received.
   * @param target - Path and query.
   * @returns The route of the host with the longest matching path prefix.
   */
  readonly match: (host: string, target: string) => RouteEntry | undefined;
}

/** Smooth weighted round robin: even within short runs of requests the shares follow the weights closely. */
function createWeightedChoice(
  targets: readonly PolicyTarget[],
  random: RandomSource,
): () => ServiceId {
  const [first] = targets as readonly [PolicyTarget, ...PolicyTarget[]];
  if (targets.length === 1) return () => first.service;
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  // Random initial credits keep the first requests of all nodes from going to the same service.
  const credits = targets.map(({ weight }) => weight * random.next());
  return () => {
    let best = 0;
    targets.forEach(({ weight }, index) => {
      credits[index] = (credits[index] as number) + weight;
      if (credits[index] > (credits[best] as number)) best = index;
    });
    credits[best] = (credits[best] as number) - total;
    return (targets[best] as PolicyTarget).service;
  };
}

function hostNameOf(host: string): string {
  const name = host.toLowerCase();
  const port = name.lastIndexOf(':');
  return port > 0 && !name.endsWith(']') ? name.slice(0, port) : name;
}

/**
 * Builds the route table of a policy.
 *
 * @param policy - The policy.
 * @param random - Source of random numbers.
 * @returns The table.
 * @public
 */
export function createRouteTable(policy: CallPolicy, random: RandomSource): RouteTable {
  const byHost = new Map<string, RouteEntry[]>();
  policy.routes.forEach((route) => {
    const entries = byHost.get(route.host) ?? [];
    entries.push({ route, nextService: createWeightedChoice(route.targets, random) });
    byHost.set(route.host, entries);
  });
  byHost.forEach((entries) =>
    entries.sort((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length),
  );
  return {
    match: (host, target) => {
      const entries = byHost.get(host) ?? byHost.get(hostNameOf(host));
      const query = target.indexOf('?');
      const path = query < 0 ? target : target.slice(0, query);
      return entries?.find(({ route }) => path.startsWith(route.pathPrefix));
    },
  };
}
