import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { createRouter } from '@buckthornslip/routing';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { BehaviorSubject } from 'rxjs';
import t from 'tap';

import { sidecarRouterSettings } from './sidecarRouterSettings';

const SERVICE = 'service' as ServiceId;
const SLOTS = 50;
const CALLS = 1_000;
const CALL_MILLISECONDS = 50;

/** Fair share of one of four members while the other three run at half their speed. */
const FAIR_SHARE = 1 / (1 + 3 * 0.5);

const memberOf = (index: number, incarnation: number): Member => ({
  host: `host-${index}` as HostId,
  incarnation: incarnation as Incarnation,
  version: 1,
  service: SERVICE,
  region: 'region' as RegionId,
  zone: 'zone' as ZoneId,
  peerAddress: `host-${index}`,
  controlAddress: `host-${index}`,
  slots: SLOTS,
  connections: SLOTS,
  state: 'ready',
  alive: true,
});

// Guards against a rolling restart in which the members that have not restarted yet receive most calls for seconds.
void t.test('a member gets no more than its share when three others restart', async (test) => {
  const clock = createFakeClock();
  const members = new BehaviorSubject([0, 1, 2, 3].map((index) => memberOf(index, 1)));
  const router = createRouter({
    region: 'region' as RegionId,
    zone: 'zone' as ZoneId,
    clock,
    random: createSeededRandom(1),
    logger: createSilentLogger(),
    linkBudget: () => ({ bytesPerSecond: 1, burstBytes: 1, largeBodyBytes: 1 }),
    settings: sidecarRouterSettings,
    membership: {
      members: () => members.value,
      changes: () => members,
      waitForMembers: () => Promise.resolve(members.value),
      suspect: () => undefined,
    },
  });
  const running = new Map<HostId, number>();
  const change = (host: HostId, difference: number): number => {
    const now = (running.get(host) ?? 0) + difference;
    running.set(host, now);
    return now;
  };
  const call = async (): Promise<HostId | undefined> => {
    const request = {
      service: SERVICE,
      priority: 'normal',
      bodyBytes: undefined,
      allowedRegions: undefined,
    } as const;
    const chosen = await router.choose({ ...request, excludedHosts: new Set() });
    if (!chosen.ok) return undefined;
    const { host } = chosen.value;
    change(host, 1);
    clock.setTimer(CALL_MILLISECONDS, () => {
      const load = { running: change(host, -1), queued: 0, limit: SLOTS, cutoffRank: 4 };
      const report = { host, service: SERVICE, latencyMilliseconds: 1, transferredBytes: 0 };
      router.report({ ...report, outcome: 'answered', load });
    });
    return host;
  };
  await call();
  await clock.advance(5_000);
  members.next([memberOf(0, 1), ...[1, 2, 3].map((index) => memberOf(index, 2))]);
  let first = 0;
  for (let calls = 0; calls < CALLS; calls += 1) {
    if ((await call()) === 'host-0') first += 1;
    await clock.advance(1);
  }
  test.ok(first <= CALLS * FAIR_SHARE, `${first} of ${CALLS} calls`);
  router.close();
});
