import type { CallFixture } from './startCallFixture';
import type { Fault } from './faults';

/** Index of the serving node to which the observed call is routed first. */
const FIRST_SERVING_NODE = 1;

/** Marker of a call that crashes the upstream which runs it. */
export const CRASH_MARKER = 'crashes';

const SLOW_MILLISECONDS = 100;

function forEachUpstream(
  fixture: CallFixture,
  change: (upstream: NonNullable<CallFixture['cluster']['upstreams'][number]>) => void,
): void {
  for (const upstream of fixture.cluster.upstreams) if (upstream !== undefined) change(upstream);
}

function drainFirstServingNode({ cluster }: CallFixture): void {
  const member = cluster.fleet.members.get(`host-${FIRST_SERVING_NODE}`);
  if (member !== undefined) {
    cluster.fleet.members.set(member.host, { ...member, state: 'draining' });
  }
  void cluster.nodes[FIRST_SERVING_NODE]?.serving.drain();
}

const blackhole = { towardsServerBytes: 0, towardsClientBytes: 0 };

/** Inject the faults that can affect a call into the nodes and upstreams of a fixture. */
export const faultInjectors: Partial<Record<Fault, (fixture: CallFixture) => void>> = {
  'slow service with surge': (fixture) =>
    forEachUpstream(fixture, (upstream) =>
      upstream.setFaults({ slowMilliseconds: SLOW_MILLISECONDS, shedShare: 0.5 }),
    ),
  'key withdrawn': ({ cluster }) => cluster.fleet.withdraw(cluster.key),
  'lease lapsed in a pause': (fixture) => fixture.makeLimiterUnavailable(),
  'crashing request sent again': (fixture) =>
    forEachUpstream(fixture, (upstream) => upstream.setFaults({ crashMarker: CRASH_MARKER })),
  'silent connection': ({ proxies }) => proxies[FIRST_SERVING_NODE]?.stopForwarding(),
  'node crash': ({ proxies }) => proxies[FIRST_SERVING_NODE]?.close(),
  'upstream crash': ({ cluster }) => cluster.upstreams[FIRST_SERVING_NODE]?.crash(),
  drain: drainFirstServingNode,
  'region cut': ({ proxies, cluster }) => {
    cluster.fleet.setFresh(false);
    for (const proxy of proxies) {
      proxy.setLimits(blackhole);
      proxy.stopForwarding();
    }
  },
  'misleading health': (fixture) =>
    forEachUpstream(fixture, (upstream) => upstream.setFaults({ health: 'failing' })),
};
