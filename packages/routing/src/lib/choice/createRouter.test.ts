import type {
  Clock,
  HostId,
  Incarnation,
  Priority,
  RegionId,
  ServiceId,
  ZoneId,
} from '@buckthornslip/common';
import { createFakeClock, createSeededRandom, createSystemClock } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import type { AttemptReport, LinkBudgetSettings, RouterSettings } from '@buckthornslip/routing';
import { createRouter } from '@buckthornslip/routing';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { BehaviorSubject } from 'rxjs';
import t from 'tap';

const SERVICE = 'draw' as ServiceId;
const SLOTS = 20;
const ACCEPTS_ALL = 4;

const memberOf = (host: string, zone: string, fields: Partial<Member> = {}): Member => ({
  host: host as HostId,
  incarnation: 1 as Incarnation,
  version: 1,
  service: SERVICE,
  region: zone.split('-')[0] as RegionId,
  zone: zone as ZoneId,
  peerAddress: host,
  controlAddress: host,
  slots: SLOTS,
  connections: 100,
  state: 'ready',
  alive: true,
  ...fields,
});

const membersIn = (zone: string, count: number): Member[] =>
  Array.from({ length: count }, (_, index) => memberOf(`${zone}-${index}`, zone));

const wideLink: LinkBudgetSettings = {
  bytesPerSecond: 1_000_000,
  burstBytes: 1_000_000,
  largeBodyBytes: 100_000,
};

function createRouterFixture(
  seed: number,
  initial: readonly Member[],
  options: { link?: LinkBudgetSettings; settings?: Partial<RouterSettings>; clock?: Clock } = {},
) {
  const clock = createFakeClock();
  const members = new BehaviorSubject<readonly Member[]>(initial);
  const suspects: HostId[] = [];
  const router = createRouter({
    region: 'riga' as RegionId,
    zone: 'riga-1' as ZoneId,
    clock: options.clock ?? clock,
    random: createSeededRandom(seed),
    logger: createSilentLogger(),
    linkBudget: () => options.link ?? wideLink,
    settings: options.settings ?? {},
    membership: {
      members: () => members.value,
      changes: () => members,
      waitForMembers: () => Promise.resolve(members.value),
      suspect: (host) => suspects.push(host),
    },
  });
  const running = new Map<HostId, number>();
  const count = (host: HostId, change: number): number => {
    running.set(host, (running.get(host) ?? 0) + change);
    return running.get(host)!;
  };
  const choose = async (priority: Priority = 'normal', bodyBytes = 0, excluded: HostId[] = []) => {
    const excludedHosts = new Set(excluded);
    const result = await router.choose({
      service: SERVICE,
      priority,
      bodyBytes,
      excludedHosts,
      allowedRegions: undefined,
    });
    if (result.ok) count(result.value.host, 1);
    return result;
  };
  const report = (
    host: HostId,
    outcome: AttemptReport['outcome'] = 'answered',
    load: { queued?: number; cutoffRank?: number } = {},
    transferredBytes = 0,
  ): void => {
    const now = Math.max(0, count(host, -1));
    router.report({
      host,
      service: SERVICE,
      outcome,
      latencyMilliseconds: 1,
      transferredBytes,
      load:
        outcome === 'answered' || outcome === 'refused'
          ? { running: now, queued: 0, limit: SLOTS, cutoffRank: ACCEPTS_ALL, ...load }
          : undefined,
    });
  };
  const chooseHost = async (priority?: Priority): Promise<Member | undefined> => {
    const result = await choose(priority);
    return result.ok ? result.value : undefined;
  };
  return { clock, members, suspects, router, choose, chooseHost, report };
}

/** Sends calls at a fixed rate; each takes the service time of its member. Returns the calls per host. */
async function sendCalls(
  fixture: ReturnType<typeof createRouterFixture>,
  calls: number,
  intervalMilliseconds: number,
  serviceMilliseconds: (host: HostId) => number,
): Promise<Map<HostId, number>> {
  const shares = new Map<HostId, number>();
  for (let call = 0; call < calls; call += 1) {
    const member = await fixture.chooseHost();
    if (member) {
      shares.set(member.host, (shares.get(member.host) ?? 0) + 1);
      fixture.clock.setTimer(serviceMilliseconds(member.host), () => fixture.report(member.host));
    }
    await fixture.clock.advance(intervalMilliseconds);
  }
  return shares;
}

void t.test('equal members get nearly equal numbers of calls', async (test) => {
  const fixture = createRouterFixture(1, membersIn('riga-1', 5));
  const shares = [...(await sendCalls(fixture, 5_000, 1, () => 30)).values()];
  test.equal(shares.length, 5);
  const imbalance = Math.max(...shares) / (5_000 / 5);
  test.ok(imbalance < 1.05, `largest share is ${imbalance} of the mean`);
});

void t.test('a slow member receives fewer calls', async (test) => {
  const fixture = createRouterFixture(2, membersIn('riga-1', 4));
  const slow = 'riga-1-0' as HostId;
  const shares = await sendCalls(fixture, 4_000, 1, (host) => (host === slow ? 100 : 20));
  const share = (shares.get(slow) ?? 0) / 4_000;
  test.ok(share < 0.125, `share ${share}, an equal one would be 0.25`);
});

void t.test('a newly ready member starts slowly', async (test) => {
  const fixture = createRouterFixture(3, membersIn('riga-1', 3));
  await sendCalls(fixture, 2_500, 1, () => 30);
  fixture.members.next([...fixture.members.value, memberOf('new', 'riga-1')]);
  const early = await sendCalls(fixture, 1_000, 1, () => 30);
  await sendCalls(fixture, 9_000, 1, () => 30);
  const late = await sendCalls(fixture, 1_000, 1, () => 30);
  const newHost = 'new' as HostId;
  test.ok((early.get(newHost) ?? 0) < 120, `${early.get(newHost)} of 1,000 in the first second`);
  test.ok((late.get(newHost) ?? 0) > 200, `${late.get(newHost)} of 1,000 after ten seconds`);
});

/** Sends calls, of which each member answers a share with errors, and returns how many members are still chosen. */
async function countUsedAfter(errorShareOf: (host: HostId) => number): Promise<number> {
  const fixture = createRouterFixture(7, membersIn('riga-1', 4));
  const random = createSeededRandom(7);
  for (let call = 0; call < 400; call += 1) {
    const member = await fixture.chooseHost();
    if (!member) continue;
    const isError = random.next() < errorShareOf(member.host);
    fixture.report(member.host, isError ? 'errored' : 'answered');
    await fixture.clock.advance(5);
  }
  const used = new Set<HostId | undefined>();
  for (let call = 0; call < 100; call += 1) used.add((await fixture.chooseHost())?.host);
  return used.size;
}

// Guards against ejecting healthy members because a service that they all call fails.
void t.test('error answers eject a member only if the others have far fewer', async (test) => {
  for (const share of [0.5, 0.8, 1]) {
    test.equal(await countUsedAfter(() => share), 4, `all fail ${share} of their calls`);
  }
  test.equal(await countUsedAfter((host) => (host === 'riga-1-2' ? 1 : 0.05)), 3);
});

void t.test('never more than half of a service is ejected', async (test) => {
  for (const size of [1, 2, 3, 4, 5]) {
    const fixture = createRouterFixture(4, membersIn('riga-1', size));
    for (let call = 0; call < 400; call += 1) {
      const member = await fixture.chooseHost();
      if (member) fixture.report(member.host, call % 2 === 0 ? 'failed' : 'silent');
    }
    const ejected = new Set(fixture.suspects);
    test.equal(ejected.size, Math.floor(size / 2), `${size} members`);
    const used = new Set<HostId | undefined>();
    for (let call = 0; call < 100; call += 1) used.add((await fixture.chooseHost())?.host);
    test.equal(used.size, size - ejected.size, 'ejected members are not chosen');
    await fixture.clock.advance(60_001);
    for (let call = 0; call < 100; call += 1) used.add((await fixture.chooseHost())?.host);
    test.equal(used.size, size, 'ejected members return');
  }
});

// Guards against a member that stays ejected for good because its timer fired before the end of the ejection.
void t.test('an ejected member returns when nothing else changes', async (test) => {
  const clock = createSystemClock();
  const keepAlive = setInterval(() => undefined, 1_000);
  test.teardown(() => clearInterval(keepAlive));
  const hasReturned = async (seed: number): Promise<boolean> => {
    const settings = { baseEjectionMilliseconds: 20 + seed / 7 };
    const fixture = createRouterFixture(seed, membersIn('riga-1', 2), { clock, settings });
    while (fixture.suspects.length === 0) {
      const member = await fixture.chooseHost();
      fixture.report(member!.host, 'failed');
    }
    await clock.sleep(100);
    const used = new Set<HostId | undefined>();
    for (let call = 0; call < 50; call += 1) used.add((await fixture.chooseHost())?.host);
    return used.size === 2;
  };
  const returned = await Promise.all(Array.from({ length: 30 }, (_, seed) => hasReturned(seed)));
  test.equal(returned.filter((isBack) => !isBack).length, 0, 'members that stayed ejected');
});

void t.test(
  'when a member leaves, an ejection that exceeds half of the service is lifted',
  async (test) => {
    const fixture = createRouterFixture(5, membersIn('riga-1', 2));
    for (let call = 0; call < 20; call += 1) {
      fixture.report('riga-1-0' as HostId, 'failed');
    }
    test.equal((await fixture.chooseHost())?.host, 'riga-1-1');
    fixture.members.next([memberOf('riga-1-0', 'riga-1')]);
    test.equal((await fixture.chooseHost())?.host, 'riga-1-0');
  },
);

void t.test('draining, left and dead members are not chosen after the change', async (test) => {
  const fixture = createRouterFixture(6, membersIn('riga-1', 3));
  await fixture.chooseHost();
  const changes: Partial<Member>[] = [{ state: 'draining' }, { state: 'left' }, { alive: false }];
  for (const change of changes) {
    fixture.members.next([
      memberOf('riga-1-0', 'riga-1', change),
      memberOf('riga-1-1', 'riga-1'),
      memberOf('riga-1-2', 'riga-1'),
    ]);
    for (let call = 0; call < 200; call += 1) {
      const member = await fixture.chooseHost();
      if (member?.host === 'riga-1-0') test.fail(`chosen in spite of ${JSON.stringify(change)}`);
    }
  }
  test.pass();
});

void t.test(
  'calls go to the same zone, then the same region, then another region, and return',
  async (test) => {
    const all = [
      ...membersIn('riga-1', 2),
      ...membersIn('riga-2', 2),
      ...membersIn('vidzeme-1', 2),
    ];
    const fixture = createRouterFixture(7, all, { settings: { slowStartMilliseconds: 0 } });
    const zoneOfNext = async (): Promise<string | undefined> => {
      const member = await fixture.chooseHost();
      if (member) fixture.report(member.host);
      return member?.zone;
    };
    const without = (...zones: string[]): void =>
      fixture.members.next(
        all.map((member) => (zones.includes(member.zone) ? { ...member, alive: false } : member)),
      );
    test.equal(await zoneOfNext(), 'riga-1');
    without('riga-1');
    test.equal(await zoneOfNext(), 'riga-2');
    without('riga-1', 'riga-2');
    test.equal(await zoneOfNext(), 'vidzeme-1');
    without();
    test.equal(await zoneOfNext(), 'riga-1');
  },
);

void t.test(
  'a zone above its spillover threshold sends some calls to the rest of the region only',
  async (test) => {
    const all = [
      ...membersIn('riga-1', 1),
      ...membersIn('riga-2', 3),
      ...membersIn('vidzeme-1', 2),
    ];
    const fixture = createRouterFixture(8, all);
    const shares = await sendCalls(fixture, 2_000, 1, () => 40);
    const own = shares.get('riga-1-0' as HostId) ?? 0;
    test.ok(own > 500 && own < 1_500, `${own} of 2,000 calls stay in the zone`);
    const far = [...shares.keys()].filter((host) => host.startsWith('vidzeme'));
    test.equal(far.length, 0, 'no call leaves the region');
  },
);

void t.test(
  'calls are refused early only when all members cut off their priority',
  async (test) => {
    const fixture = createRouterFixture(9, [...membersIn('riga-1', 2), ...membersIn('riga-2', 1)]);
    const reportCutoff = async (hosts: string[], cutoffRank: number): Promise<void> => {
      await fixture.chooseHost();
      hosts.forEach((host) => fixture.report(host as HostId, 'refused', { cutoffRank }));
    };
    await reportCutoff(['riga-1-0', 'riga-1-1'], 2);
    test.equal((await fixture.chooseHost('normal'))?.host, 'riga-2-0', 'another zone accepts it');
    await reportCutoff(['riga-2-0'], 2);
    test.match(await fixture.choose('normal'), { ok: false, error: { kind: 'priority-cutoff' } });
    test.match(await fixture.choose('low'), { ok: false, error: { kind: 'priority-cutoff' } });
    test.match(await fixture.choose('high'), { ok: true }, 'more important calls go on');
    await reportCutoff(['riga-1-1'], 3);
    test.equal(
      (await fixture.chooseHost('normal'))?.host,
      'riga-1-1',
      'a raised cutoff is applied',
    );
    await fixture.clock.advance(300);
    test.match(await fixture.choose('low'), { ok: true }, 'an old cutoff is ignored');
  },
);

void t.test(
  'the link budget is never exceeded, and important calls keep their reserved share',
  async (test) => {
    const link = { bytesPerSecond: 100_000, burstBytes: 50_000, largeBodyBytes: 10_000 };
    const fixture = createRouterFixture(10, membersIn('vidzeme-1', 3), { link });
    const random = createSeededRandom(100);
    // Critical and high calls together need a little more than the budget.
    const priorities: Priority[] = ['critical', ...Array<Priority>(3).fill('high')];
    priorities.push(...Array<Priority>(3).fill('normal'), ...Array<Priority>(3).fill('low'));
    const asked = new Map<Priority, number>();
    const accepted = new Map<Priority, number>();
    const crossings: { at: number; bytes: number }[] = [];
    for (let call = 0; call < 4_000; call += 1) {
      const priority = priorities[random.nextInteger(10)]!;
      const bytes = 100 + random.nextInteger(1_000);
      asked.set(priority, (asked.get(priority) ?? 0) + 1);
      const result = await fixture.choose(priority, bytes);
      if (result.ok) {
        accepted.set(priority, (accepted.get(priority) ?? 0) + 1);
        crossings.push({ at: fixture.clock.monotonicMilliseconds(), bytes });
        fixture.report(result.value.host, 'answered', {}, bytes);
      }
      await fixture.clock.advance(2);
    }
    let worst = 0;
    crossings.forEach((from, index) => {
      let bytes = 0;
      crossings.slice(index).forEach((to) => {
        bytes += to.bytes;
        const allowed = ((to.at - from.at) * link.bytesPerSecond) / 1_000 + link.burstBytes;
        worst = Math.max(worst, bytes / allowed);
      });
    });
    test.ok(worst <= 1, `largest use of any window is ${worst} of the budget`);
    const share = (priority: Priority): number =>
      (accepted.get(priority) ?? 0) / (asked.get(priority) ?? 1);
    test.equal(share('critical'), 1, 'no critical call is refused');
    test.ok(share('high') > 0.6, `share of high calls ${share('high')}`);
    test.ok(share('high') > 5 * share('normal'), `share of normal calls ${share('normal')}`);
    test.ok(share('normal') >= share('low'), `share of low calls ${share('low')}`);
    test.match(await fixture.choose('low', 4_000), { ok: false, error: { kind: 'link-budget' } });
  },
);

void t.test(
  'a large body crosses the link only while its budget is nearly unused',
  async (test) => {
    const link = { bytesPerSecond: 100_000, burstBytes: 100_000, largeBodyBytes: 10_000 };
    const fixture = createRouterFixture(11, membersIn('vidzeme-1', 2), { link });
    test.match(await fixture.choose('critical', 30_000), { ok: true });
    test.match(await fixture.choose('critical', 30_000), { error: { kind: 'link-budget' } });
    test.match(await fixture.choose('low', 5_000), { ok: true }, 'small calls go on');
  },
);

void t.test('unexpectedly large answers delay later calls', async (test) => {
  const link = { bytesPerSecond: 10_000, burstBytes: 10_000, largeBodyBytes: 10_000 };
  const fixture = createRouterFixture(12, membersIn('vidzeme-1', 1), { link });
  test.match(await fixture.choose('critical', 1_000), { ok: true });
  fixture.report('vidzeme-1-0' as HostId, 'answered', {}, 20_000);
  test.match(await fixture.choose('critical', 1_000), { error: { kind: 'link-budget' } });
  await fixture.clock.advance(2_000);
  test.match(await fixture.choose('critical', 1_000), { ok: true });
});

void t.test('excluded hosts are not chosen, and an empty service has no upstream', async (test) => {
  const fixture = createRouterFixture(13, membersIn('riga-1', 3));
  const excluded = ['riga-1-0', 'riga-1-2'] as HostId[];
  const result = await fixture.choose('normal', 0, excluded);
  test.match(result, { ok: true, value: { host: 'riga-1-1' } });
  const none = await fixture.choose('normal', 0, [...excluded, 'riga-1-1' as HostId]);
  test.match(none, { ok: false, error: { kind: 'no-upstream' } });
  const empty = createRouterFixture(14, []);
  test.match(await empty.choose(), { ok: false, error: { kind: 'no-upstream' } });
});
