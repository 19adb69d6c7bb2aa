import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import type { LoadReport } from '@buckthornslip/routing';
import { createRouter } from '@buckthornslip/routing';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { BehaviorSubject } from 'rxjs';
import t from 'tap';

const SERVICE = 'draw' as ServiceId;
const SLOTS = 20;
const COST = 100;
const IDLE: LoadReport = { running: 0, queued: 0, limit: SLOTS, cutoffRank: 4 };
const NEAR = 'near' as HostId;
const FAR = 'far' as HostId;

/** A router in zone `riga-1` with the members `near` and `far`, which have reported their loads. */
async function createPair(farZone: string, loads: Record<'near' | 'far', Partial<LoadReport>>) {
  const clock = createFakeClock();
  const zones = { near: 'riga-1', far: farZone };
  const members = Object.entries(zones).map(([host, zone]): Member => ({
    host: host as HostId,
    incarnation: 1 as Incarnation,
    version: 1,
    service: SERVICE,
    region: 'riga' as RegionId,
    zone: zone as ZoneId,
    peerAddress: host,
    controlAddress: host,
    slots: SLOTS,
    connections: 100,
    state: 'ready',
    alive: true,
  }));
  const router = createRouter({
    region: 'riga' as RegionId,
    zone: 'riga-1' as ZoneId,
    clock,
    random: createSeededRandom(1),
    logger: createSilentLogger(),
    linkBudget: () => ({ bytesPerSecond: 1, burstBytes: 1, largeBodyBytes: 1 }),
    membership: {
      members: () => members,
      changes: () => new BehaviorSubject<readonly Member[]>(members),
      waitForMembers: () => Promise.resolve(members),
      suspect: () => undefined,
    },
  });
  const report = (host: HostId, load: Partial<LoadReport>, latencyMilliseconds = COST): void =>
    router.report({
      host,
      service: SERVICE,
      outcome: 'answered',
      latencyMilliseconds,
      transferredBytes: 0,
      load: { ...IDLE, ...load },
      serviceMilliseconds: COST,
      costMilliseconds: COST,
    });
  const choose = async (excluded: readonly HostId[], costMilliseconds?: number) => {
    const excludedHosts = new Set(excluded);
    const request = { service: SERVICE, bodyBytes: 0, excludedHosts, costMilliseconds };
    const chosen = await router.choose({
      ...request,
      priority: 'normal',
      allowedRegions: undefined,
    });
    return chosen.ok ? chosen.value.host : undefined;
  };
  /** @returns How many of a number of calls, which don't end, were sent to `far`. */
  const countFar = async (calls: number, costMilliseconds?: number): Promise<number> => {
    let far = 0;
    for (let call = 0; call < calls; call += 1) {
      if ((await choose([], costMilliseconds)) === FAR) far += 1;
    }
    return far;
  };
  await choose([FAR], COST);
  report(NEAR, loads.near);
  await choose([NEAR], COST);
  report(FAR, loads.far, COST + 5);
  return { clock, countFar };
}

const workOf = (workMilliseconds: number, speed = 1) => ({ workMilliseconds, speed });

// Guards against a choice by calls alone, which an upstream with few long calls would win.
void t.test('the member with less remaining work gets the call', async (test) => {
  const near = { running: 10, ...workOf(10_000) };
  const far = { running: 11, ...workOf(1_100) };
  test.equal(await (await createPair('riga-1', { near, far })).countFar(1, COST), 1);
  test.equal(await (await createPair('riga-1', { near, far })).countFar(1), 0);
});

// Guards against a report that attracts every call until the next one.
void t.test('work sent since the report counts', async (test) => {
  const pair = await createPair('riga-1', { near: workOf(1_000), far: workOf(0) });
  const far = await pair.countFar(60, COST);
  test.ok(far > 20 && far < 50, `${far} of 60`);
});

// Guards against the comparison of times with utilizations while the setting differs between nodes.
void t.test('a member that reports no work is compared by calls', async (test) => {
  const near = { running: 5, ...workOf(100_000, 0.2) };
  test.equal(
    await (await createPair('riga-1', { near, far: { running: 6 } })).countFar(1, COST),
    0,
  );
});

// Guards against the use of work that was reported long ago.
void t.test('after the age limit of reports only the own attempts count', async (test) => {
  const pair = await createPair('riga-1', {
    near: workOf(0),
    far: { running: 20, ...workOf(9e3) },
  });
  test.equal(await pair.countFar(1, COST), 0);
  await pair.clock.advance(6_000);
  test.equal(await pair.countFar(1, COST), 1);
});

// Guards against calls that cross zones for differences within the noise, or never.
void t.test('another zone gets a call only if it is clearly faster there', async (test) => {
  const near = { running: 10, ...workOf(1_000) };
  const slightlyLess = { running: 9, ...workOf(900, 1.1) };
  const fast = { running: 9, ...workOf(900, 1.7) };
  test.equal(await (await createPair('riga-2', { near, far: slightlyLess })).countFar(1, COST), 0);
  test.equal(await (await createPair('riga-2', { near, far: fast })).countFar(1, COST), 1);
  test.equal(await (await createPair('riga-2', { near, far: fast })).countFar(1), 0);
});

// Guards against a choice at random between members that report no work, because the costs of all calls are unknown: service times
// of streamed responses are not learned.
void t.test('calls of unknown cost are compared by calls', async (test) => {
  const loads = { near: { running: 15, ...workOf(0) }, far: { running: 1, ...workOf(0) } };
  test.equal(await (await createPair('riga-1', loads)).countFar(10, 0), 10);
});
