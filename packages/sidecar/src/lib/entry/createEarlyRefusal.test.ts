import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { simulateNestedLoad } from '../testing/simulateNestedLoad';
import { createEarlyRefusal } from './createEarlyRefusal';

const SEED = 20_261_206;
const LOAD_SEEDS = [SEED, SEED + 1, SEED + 2];
const SURGE = { start: 4_000, end: 14_000 };
/** Time in which the share has to follow a change of the load, in milliseconds. */
const SETTLE_MILLISECONDS = 3_000;
const RECOVERY_MILLISECONDS = 2_000;

const simulate = (factor: number, usesReports: boolean) => {
  const phases = [
    { milliseconds: SURGE.start, factor: 1 },
    { milliseconds: SURGE.end - SURGE.start, factor },
    { milliseconds: 5_000, factor: 1 },
  ];
  const runs = LOAD_SEEDS.map((seed) => simulateNestedLoad({ seed, phases, usesReports }));
  const requests = runs.flatMap((run) => run.requests);
  const returns = runs.flatMap((run) => run.returns);
  const between = (from: number, to: number) => {
    const arrived = requests.filter(
      ({ arrivedMilliseconds }) => arrivedMilliseconds >= from && arrivedMilliseconds < to,
    );
    const served = arrived.filter(({ isServed }) => isServed).length;
    const started = arrived.reduce((total, request) => total + request.runs, 0);
    const servedOf = (rank: number): number => {
      const ofRank = arrived.filter((request) => request.rank === rank);
      return ofRank.filter(({ isServed }) => isServed).length / ofRank.length;
    };
    return {
      served: served / arrived.length,
      wasted: (started - served) / started,
      started,
      byRank: [0, 1, 2, 3].map(servedOf),
    };
  };
  return {
    settled: between(SURGE.start + SETTLE_MILLISECONDS, SURGE.end),
    recovered: between(
      SURGE.end + RECOVERY_MILLISECONDS,
      SURGE.end + RECOVERY_MILLISECONDS + 1_000,
    ),
    returns,
  };
};

[1.7, 2.4].forEach((factor) => {
  // Guards against runs whose nested calls are refused. Callers need all that there is capacity for, the important calls first, and
  // everything two seconds after the surge; the upstreams need their time for runs that end well.
  void t.test(`at ${factor} times the load few runs are in vain`, async (test) => {
    const { recovered, returns, settled } = simulate(factor, true);
    const baseline = simulate(factor, false);
    const { byRank } = settled;
    const figures = JSON.stringify({
      settled,
      recovered: recovered.served,
      baseline: { settled: baseline.settled, recovered: baseline.recovered.served },
    });
    test.comment(figures);
    test.ok(settled.wasted <= 0.2, 'at most one run in five is in vain');
    test.ok(settled.wasted <= 0.75 * baseline.settled.wasted, 'a quarter less than before');
    test.ok(settled.served >= baseline.settled.served - 0.02, 'no fewer requests are served');
    test.ok(byRank[0]! >= 0.98 && byRank[1]! >= 0.98, 'important requests are served');
    test.ok(byRank[2]! >= byRank[3]!, 'the least important requests are refused first');
    test.ok(recovered.served >= 0.95, 'all are served two seconds later');
    const perTenth = new Map<number, number>();
    returns.forEach(({ at }) => {
      const tenth = Math.floor(at / 100);
      perTenth.set(tenth, (perTenth.get(tenth) ?? 0) + 1);
    });
    const mean = returns.length / perTenth.size;
    test.ok(Math.max(...perTenth.values()) <= 3 * mean, 'refused requests do not return together');
  });
});

// Guards against refusing calls for which there is capacity.
void t.test('at the usual load nothing is lost', async (test) => {
  const { returns, settled } = simulate(1, true);
  const baseline = simulate(1, false);
  test.comment(JSON.stringify({ served: settled.served, baseline: baseline.settled.served }));
  test.ok(settled.served >= baseline.settled.served - 0.005);
  test.ok(returns.length <= 0.001 * settled.started, `${returns.length} refused early`);
});

const createFixture = () => {
  const clock = createFakeClock();
  const random = createSeededRandom(SEED);
  return { clock, refusal: createEarlyRefusal({ clock, random, logger: createSilentLogger() }) };
};

/** Sends calls of each rank for some time, and returns the share that was let through by rank. */
const sendCalls = async (
  { clock, refusal }: ReturnType<typeof createFixture>,
  milliseconds: number,
  report: number | undefined,
) => {
  const admitted = [0, 0, 0, 0];
  const steps = milliseconds / 10;
  for (let step = 0; step < steps; step += 1) {
    admitted.forEach((count, rank) => {
      admitted[rank] = count + (refusal.admits('read', rank) ? 1 / steps : 0);
    });
    refusal.record('read', report);
    await clock.advance(10);
  }
  return admitted;
};

// Guards against acting where serving nodes report nothing, and against a route that stays throttled when reports end.
void t.test('without reports calls are let through', async (test) => {
  const fixture = createFixture();
  test.same((await sendCalls(fixture, 500, undefined)).map(Math.round), [1, 1, 1, 1]);
  const reduced = await sendCalls(fixture, 3_000, 0.01);
  test.ok(reduced[3]! > 0 && reduced[3]! < 0.5, `${reduced}`);
  test.equal(fixture.refusal.reducedRoutes(), 1);
  await sendCalls(fixture, 5_000, undefined);
  test.equal(fixture.refusal.reducedRoutes(), 0);
});

// Guards against delays that callers do not honour, and against less important callers that return first.
void t.test('Retry-After stays within a third of the remaining time', async (test) => {
  const fixture = createFixture();
  await sendCalls(fixture, 3_000, 0.01);
  const meanOf = (rank: number): number => {
    const delays = Array.from({ length: 500 }, () =>
      fixture.refusal.retryAfterMilliseconds('read', rank, 1_500),
    );
    test.ok(Math.max(...delays) < 500);
    test.ok(new Set(delays.map((delay) => Math.floor(delay / 25))).size >= 8, 'spread');
    return delays.reduce((total, delay) => total + delay, 0) / delays.length;
  };
  test.ok(meanOf(0) < meanOf(3));
});
