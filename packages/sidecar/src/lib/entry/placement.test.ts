import t from 'tap';

import { simulatePlacement } from '../testing/simulatePlacement';
import type { PlacementLoad, PlacementResult } from '../testing/simulatePlacement';

const SEED = Number(process.env.PROPERTY_SEED ?? 20_261_206);

/**
 * Gain that callers notice: an objective is usually met by 99 of 100 calls, so one call in 100 is its whole allowance,
 * and callers set time-outs in steps of about a twentieth.
 */
const VISIBLE = { share: 0.01, p99: 0.95 } as const;

/** Loss that callers don't notice: a tenth of that allowance, and less than half a step of a time-out. */
const UNNOTICED = { share: -0.001, p99: 1.02 } as const;

/**
 * Beyond capacity about half of the calls miss the objective, and two seeds differ by two of 100. The bound only guards
 * against a collapse, in which the rule would waste a twentieth of the capacity.
 */
const NO_COLLAPSE = { share: -0.05, p99: Infinity } as const;

const evenLoad: PlacementLoad = {
  milliseconds: 8_000,
  upstreams: 12,
  slots: 30,
  speeds: [1],
  meanMilliseconds: 100,
  spread: 0.3,
  routes: [1],
  tailShare: 0,
  tailFactor: 1,
  slowShare: 0,
  crowdedShare: Infinity,
  utilization: 0.7,
  wave: 0,
};

/** Nothing that the node sees tells the costs of requests apart, which is the worst case for learned costs. */
const loadA: PlacementLoad = {
  ...evenLoad,
  upstreams: 20,
  slots: 55,
  speeds: [0.5, 1, 1, 1.5],
  meanMilliseconds: 242,
  spread: 0.8,
  tailShare: 0.01,
  tailFactor: 4,
  utilization: 0.8,
};

const lastServiceOfA: PlacementLoad = {
  ...loadA,
  upstreams: 4,
  slots: 174,
  speeds: [0.6, 1, 1.4],
  meanMilliseconds: 190,
  crowdedShare: 0.95,
  utilization: 0.65,
};

const loadB: PlacementLoad = {
  ...loadA,
  // The warm-up and a whole wave.
  milliseconds: 19_000,
  upstreams: 24,
  slots: 44,
  speeds: [0.7, 0.7, 1.7],
  tailShare: 0.03,
  tailFactor: 7,
  slowShare: 0.15,
  utilization: 0.6,
  wave: 0.55,
};

const cases: readonly [string, PlacementLoad, { readonly share: number; readonly p99: number }][] =
  [
    ['load A', loadA, VISIBLE],
    ['last service of load A', lastServiceOfA, VISIBLE],
    ['load B', loadB, VISIBLE],
    ['even load', evenLoad, UNNOTICED],
    ['load A beyond capacity', { ...loadA, upstreams: 8, utilization: 1.3 }, NO_COLLAPSE],
  ];

const describe = ({ calls, p50, p99, withinObjective }: PlacementResult): string =>
  `${calls} calls, p50 ${p50.toFixed(0)} ms, p99 ${p99.toFixed(0)} ms, ` +
  `${(100 * withinObjective).toFixed(2)} of 100 within the objective`;

cases.forEach(([name, load, bound]) => {
  // Guards against a rule that is worse than the comparison by calls, or no better where upstreams and calls differ.
  void t.test(`${name}: choice by expected work`, { timeout: 120_000 }, async (test) => {
    const byCalls = await simulatePlacement(load, false, SEED);
    const byWork = await simulatePlacement(load, true, SEED);
    test.comment(`by calls: ${describe(byCalls)}`);
    test.comment(`by expected work: ${describe(byWork)}`);
    test.equal(byWork.calls, byCalls.calls);
    test.ok(byWork.withinObjective - byCalls.withinObjective >= bound.share);
    test.notOk(byWork.p99 > byCalls.p99 * bound.p99);
  });
});
