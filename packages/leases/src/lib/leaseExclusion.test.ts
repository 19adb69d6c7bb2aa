import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import type { LeasePeers, LeaseTiming } from '@buckthornslip/leases';
import fc from 'fast-check';
import t from 'tap';

import { createLeaseSimulation } from './simulation/createLeaseSimulation';
import type { LeaseSimulation } from './simulation/LeaseSimulation';

/** The maximum outage is short, so that takeovers by non-candidates also occur. */
const timing: LeaseTiming = {
  termMilliseconds: 9_000,
  marginFraction: 0.1,
  maximumOutageMilliseconds: 60_000,
};

const SEED = 20_261_204;
const RUNS = 1_000;
const ZONES = ['a', 'b', 'b', 'c'];

type Action = (
  simulation: LeaseSimulation,
  later: (after: () => void) => void,
  durationMilliseconds: number,
) => void;

const host = fc.nat({ max: ZONES.length - 1 });

/** Each fault starts immediately; `later` ends it after its duration. */
const action: fc.Arbitrary<readonly [string, Action]> = fc
  .oneof({ weight: 4, arbitrary: fc.constant('holder') }, { weight: 3, arbitrary: host })
  .chain((target) => {
    const hostOf = (simulation: LeaseSimulation): number =>
      target === 'holder' ? (simulation.holder() ?? 0) : Number(target);
    const pause: Action = (simulation, later) => {
      const pauseControl = simulation.node(hostOf(simulation))?.pauseControl;
      pauseControl?.pause();
      later(() => pauseControl?.resume());
    };
    const pauseAtRequest: Action = (simulation, _, durationMilliseconds) =>
      simulation.pauseAtNextRequest(hostOf(simulation), durationMilliseconds);
    const cutOff: Action = (simulation, later) => {
      const cut = hostOf(simulation);
      simulation.setCutOff(cut, true);
      later(() => simulation.setCutOff(cut, false));
    };
    const crash: Action = (simulation, later) => {
      const crashed = hostOf(simulation);
      simulation.crash(crashed);
      later(() => simulation.start(crashed));
    };
    const handOver: Action = (simulation, later) => {
      const leaving = hostOf(simulation);
      void simulation.node(leaving)?.manager.handOverAll();
      later(() => simulation.start(leaving));
    };
    const suspect: Action = (simulation, later) => {
      const suspected = hostOf(simulation);
      simulation.setSuspected(suspected, true);
      later(() => simulation.setSuspected(suspected, false));
    };
    const removeCandidate: Action = ({ node, holder, partition }) => {
      const manager = node(holder() ?? 0)?.manager;
      const candidate = manager?.heldLease(partition)?.candidates[0];
      if (candidate) void manager?.removeCandidate(partition, candidate);
    };
    const storeDown: Action = ({ store }, later) => {
      store.faults.setDown(true);
      later(() => store.faults.setDown(false));
    };
    const loseResponses: Action = ({ store }) => store.faults.loseWriteResponses(2);
    const loseMessages: Action = (simulation, later) => {
      simulation.setMessageLoss(0.5);
      later(() => simulation.setMessageLoss(0));
    };
    const actions = {
      pause,
      pauseAtRequest,
      cutOff,
      crash,
      handOver,
      suspect,
      removeCandidate,
      storeDown,
      loseResponses,
      loseMessages,
    };
    return fc.constantFrom(
      ...Object.entries(actions).map(([name, run]) => [`${name} ${target}`, run] as const),
    );
  });

const scenario = fc.record({
  seed: fc.integer(),
  rates: fc.array(fc.double({ min: 0.96, max: 1.04, noNaN: true }), {
    minLength: ZONES.length,
    maxLength: ZONES.length,
  }),
  mustPrepare: fc.boolean(),
  // With slow messages, more faults occur while a message is in flight.
  maximumDelayMilliseconds: fc.constantFrom(10, 500),
  steps: fc.array(
    fc.record({
      action,
      gapMilliseconds: fc.integer({ min: 50, max: 12_000 }),
      durationMilliseconds: fc.integer({ min: 100, max: 40_000 }),
    }),
    { minLength: 3, maxLength: 14 },
  ),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer Value> ? Value : never;

interface Variant {
  readonly timing: LeaseTiming;
  readonly changePeers?: (peers: LeasePeers) => LeasePeers;
}

/** Totals over all runs, to show that the property is not vacuous. */
const totals = { runs: 0, epochs: 0 };

async function findViolations(
  { seed, rates, mustPrepare, maximumDelayMilliseconds, steps }: Scenario,
  variant: Variant,
): Promise<readonly string[]> {
  const clock = createFakeClock();
  const simulation = createLeaseSimulation({
    clock,
    random: createSeededRandom(seed),
    hosts: ZONES.map((zone, index) => ({ zone, rate: rates[index] ?? 1 })),
    maximumDelayMilliseconds,
    lateProbability: 0.03,
    prepareCandidate: mustPrepare ? () => clock.sleep(700).then(() => true) : undefined,
    ...variant,
  });
  await simulation.run(5_000);
  for (const {
    action: [, begin],
    gapMilliseconds,
    durationMilliseconds,
  } of steps) {
    begin(simulation, (after) => clock.setTimer(durationMilliseconds, after), durationMilliseconds);
    await simulation.run(gapMilliseconds);
  }
  await simulation.run(30_000);
  simulation.close();
  totals.runs += 1;
  totals.epochs += simulation.epochs.length;
  return simulation.violations;
}

const check = (variant: Variant): Promise<fc.RunDetails<[Scenario]>> =>
  Promise.resolve(
    fc.check(
      fc.asyncProperty(scenario, async (values) => {
        const violations = await findViolations(values, variant);
        if (violations.length > 0) throw new Error(violations.join('; '));
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    ),
  );

void t.test(
  'two nodes never hold a partition at the same time and epochs never decrease',
  async (test) => {
    const details = await check({ timing });
    test.equal(details.failed, false, fc.defaultReportMessage(details) ?? '');
    test.equal(details.numRuns, RUNS);
    test.comment(`${totals.epochs} epochs in ${totals.runs} runs`);
    test.ok(totals.epochs > 2 * RUNS, 'takeovers occurred in most runs');
  },
);

void t.test('the property fails without the margin for clock rates', async (test) => {
  const details = await check({ timing: { ...timing, marginFraction: 0 } });
  test.equal(details.failed, true);
  test.comment(`found in run ${details.numRuns}: ${String(details.errorInstance)}`);
});

void t.test(
  'the property fails if candidates take over in spite of a granted extension',
  async (test) => {
    // Reports an extension that the candidate never granted.
    const changePeers = (peers: LeasePeers): LeasePeers => ({
      ...peers,
      requestExtension: async (_, { candidate }) => ({ promised: true, responder: candidate }),
    });
    const details = await check({ timing, changePeers });
    test.equal(details.failed, true);
    test.comment(`found in run ${details.numRuns}: ${String(details.errorInstance)}`);
  },
);
