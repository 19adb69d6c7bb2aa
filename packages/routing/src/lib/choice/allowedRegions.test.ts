import type { HostId, Priority, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { createRouter } from '@buckthornslip/routing';
import { createSilentLogger } from '@buckthornslip/telemetry';
import * as fc from 'fast-check';
import { BehaviorSubject } from 'rxjs';
import t from 'tap';

const SEED = 20_261_206;
const RUNS = 1_000;
const SERVICE = 'draw' as ServiceId;

const anyRegion = fc.constantFrom('a', 'b', 'c', 'd') as fc.Arbitrary<RegionId>;

const anyMembers = fc.array(
  fc.record({ region: anyRegion, zone: fc.constantFrom('1', '2'), isReady: fc.boolean() }),
  { maxLength: 8 },
);

const anyStep = fc.record({
  allowed: fc.option(fc.uniqueArray(anyRegion, { maxLength: 3 }), { nil: undefined }),
  priority: fc.constantFrom<Priority>('critical', 'normal', 'low'),
  outcome: fc.constantFrom('answered', 'failed', 'errored', 'refused'),
  cutoffRank: fc.nat({ max: 4 }),
  attempts: fc.integer({ min: 1, max: 4 }),
  next: fc.option(anyMembers),
});

function toMembers(all: readonly { region: RegionId; zone: string; isReady: boolean }[]): Member[] {
  return all.map(({ isReady, region, zone }, index) => ({
    host: `host-${index}` as HostId,
    incarnation: 1 as Member['incarnation'],
    version: 1,
    service: SERVICE,
    region,
    zone: `${region}-${zone}` as ZoneId,
    peerAddress: '',
    controlAddress: '',
    slots: 4,
    connections: 4,
    state: isReady ? 'ready' : 'draining',
    alive: true,
  }));
}

// Guards against an attempt or a retry in a region that the request does not allow, whatever has failed or is overloaded elsewhere,
// and against a request that is refused although a member of an allowed region could serve it.
void t.test('a member outside the allowed regions is never chosen', async (test) => {
  const property = fc.asyncProperty(anyMembers, fc.array(anyStep), async (first, steps) => {
    const clock = createFakeClock();
    const members = new BehaviorSubject<readonly Member[]>(toMembers(first));
    const router = createRouter({
      region: 'a' as RegionId,
      zone: 'a-1' as ZoneId,
      clock,
      random: createSeededRandom(SEED),
      logger: createSilentLogger(),
      linkBudget: () => ({ bytesPerSecond: 1e9, burstBytes: 1e9, largeBodyBytes: 1e9 }),
      membership: {
        members: () => members.value,
        changes: () => members,
        waitForMembers: () => Promise.resolve(members.value),
        suspect: () => undefined,
      },
    });
    for (const { allowed, attempts, cutoffRank, next, outcome, priority } of steps) {
      if (next) members.next(toMembers(next));
      const allowedRegions = allowed && new Set(allowed);
      const mayServe = ({ region, state }: Member): boolean =>
        state === 'ready' && (allowedRegions?.has(region) ?? true);
      const excludedHosts = new Set<HostId>();
      for (let attempt = 0; attempt < attempts; attempt += 1) {
        const request = { service: SERVICE, priority, bodyBytes: 1, excludedHosts, allowedRegions };
        const chosen = await router.choose(request);
        const hasNone = allowedRegions !== undefined && !members.value.some(mayServe);
        const isRefusedForRegion = !chosen.ok && chosen.error.kind === 'region-not-allowed';
        if (hasNone !== isRefusedForRegion) return false;
        if (!chosen.ok) break;
        const { host, region } = chosen.value;
        if (allowedRegions?.has(region) === false) return false;
        excludedHosts.add(host);
        const load = { running: 9, queued: 9, limit: 4, cutoffRank };
        const report = { host, service: SERVICE, latencyMilliseconds: 1, transferredBytes: 1 };
        router.report({ ...report, outcome, load: outcome === 'failed' ? undefined : load });
      }
    }
    router.close();
    return true;
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  test.pass(`${RUNS} runs`);
});
