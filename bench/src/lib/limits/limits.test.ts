import fc from 'fast-check';
import t from 'tap';
import type { AccountId, RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import { createAccountGrouping, limitsPartition } from '@buckthornslip/limits';
import type { AccountGrouping } from '@buckthornslip/limits';

import { createLimitsSimulation } from './createLimitsSimulation';
import type { LimitsSimulation } from './createLimitsSimulation';
import { runGreedyEntryNode } from './runGreedyEntryNode';
import { createReferenceBucket } from './createReferenceBucket';
import type { Faults } from './Faults';

const SEED = 20_261_204;
const RUNS = 1_000;
const DURATION_MILLISECONDS = 3_000;
const regions = ['east', 'west'] as unknown as readonly RegionId[];

const accountOf = (id: string, ratePerSecond: number, burst: number): AccountDefinition => ({
  id: id as AccountId,
  ratePerSecond,
  burst,
  routes: [],
  whenIsolated: 'refuse',
});

const definitions = [accountOf('shared', 40, 30), accountOf('small', 12, 6)];
const accounts = new Map(definitions.map((definition) => [definition.id, definition]));

type Fault =
  | { readonly kind: 'pause'; readonly slot: number; readonly milliseconds: number }
  | { readonly kind: 'crash'; readonly slot: number }
  | { readonly kind: 'handover'; readonly region: number }
  | { readonly kind: 'network' | 'store'; readonly changes: Partial<Faults> };

interface TimedFault {
  readonly atMilliseconds: number;
  readonly fault: Fault;
}

const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('pause' as const),
    slot: fc.nat(3),
    milliseconds: fc.integer({ min: 50, max: 2_500 }),
  }),
  fc.record({ kind: fc.constant('crash' as const), slot: fc.nat(3) }),
  fc.record({ kind: fc.constant('handover' as const), region: fc.nat(1) }),
  fc.record({
    kind: fc.constant('network' as const),
    changes: fc.record({
      loss: fc.constantFrom(0, 0.1, 0.5),
      duplication: fc.constantFrom(0, 0.3),
      delayMilliseconds: fc.constantFrom(1, 50, 500),
    }),
  }),
  fc.record({
    kind: fc.constant('store' as const),
    changes: fc.record({ storeFailures: fc.constantFrom(0, 0.3, 0.8, 1) }),
  }),
);

const scenarioArbitrary = fc.record({
  seed: fc.nat(),
  faults: fc.array(
    fc.record({ atMilliseconds: fc.nat(DURATION_MILLISECONDS), fault: faultArbitrary }),
    { maxLength: 10, size: 'max' },
  ),
  /** Whether greedy entry nodes, which spend tokens in the last moment, replace the real ones. */
  isGreedy: fc.boolean(),
  /** Share of the demand that arrives in the first region, in the first and the second half. */
  shares: fc.tuple(fc.constantFrom(0.05, 0.5, 0.95), fc.constantFrom(0.05, 0.5, 0.95)),
});

const totals = { spent: 0, refused: 0, takeovers: 0, moves: 0 };

function applyFault(simulation: LimitsSimulation, grouping: AccountGrouping, fault: Fault): void {
  if (fault.kind === 'pause') simulation.nodes[fault.slot]?.process.pause(fault.milliseconds);
  else if (fault.kind === 'crash') simulation.restart(fault.slot);
  else if (fault.kind === 'handover') {
    const region = regions[fault.region] as RegionId;
    definitions.forEach(({ id }) =>
      simulation.leases.handOver(limitsPartition(region, grouping.groupOf(id))),
    );
  } else Object.assign(simulation.faults, fault.changes);
}

/** Runs a scenario and returns the first violation: an account that got more than its rate and burst, and when. */
async function runSimulation(
  grouping: AccountGrouping,
  scenario: {
    readonly seed: number;
    readonly faults: readonly TimedFault[];
    readonly isGreedy: boolean;
    readonly shares: readonly [number, number];
  },
): Promise<string | undefined> {
  const simulation = createLimitsSimulation({
    seed: scenario.seed,
    grouping,
    accounts,
    regions,
    nodesPerRegion: 2,
    termMilliseconds: 600,
    waitMilliseconds: 100,
    demandAverageMilliseconds: 300,
    splitReadMilliseconds: 200,
    logger: {
      log: (event) => {
        if (event === 'limitPartMoved') totals.moves += 1;
      },
    },
  });
  const { clock, random } = simulation;
  let violation: string | undefined;
  scenario.faults.forEach(({ atMilliseconds, fault }) =>
    clock.setTimer(atMilliseconds, () => applyFault(simulation, grouping, fault)),
  );

  const demandShareOf = (isFirstRegion: boolean): number => {
    const half = clock.monotonicMilliseconds() < DURATION_MILLISECONDS / 2 ? 0 : 1;
    return isFirstRegion ? scenario.shares[half] : 1 - scenario.shares[half];
  };

  const spend = async (definition: AccountDefinition, check: () => boolean): Promise<void> => {
    const first = random.next() < demandShareOf(true) ? 0 : 2;
    const node = simulation.nodes[first + random.nextInteger(2)];
    if (!node?.process.isRunning()) return;
    const result = await node.limiter.spend(definition.id);
    if (!result.ok) totals.refused += 1;
    else if (check()) totals.spent += 1;
    else violation ??= `${definition.id} at ${clock.monotonicMilliseconds()} ms`;
  };

  // Calls stay within rate * t + burst in every window of length t if and only if the bucket is never empty.
  const send = (definition: AccountDefinition): void => {
    const bucket = createReferenceBucket(definition.ratePerSecond, definition.burst);
    const arrive = (): void => {
      // Sends bursts with gaps between them, at about twice the rate on average.
      const size = 1 + random.nextInteger(definition.burst);
      for (let call = 0; call < size; call += 1)
        void spend(definition, () => bucket.spend(clock.monotonicMilliseconds()));
      clock.setTimer((random.next() * size * 1_000) / definition.ratePerSecond, arrive);
    };
    arrive();
  };

  const sendGreedily = (definition: AccountDefinition): void => {
    const bucket = createReferenceBucket(definition.ratePerSecond, definition.burst);
    const onSpend = (): void => {
      totals.spent += 1;
      if (!bucket.spend(clock.monotonicMilliseconds()))
        violation ??= `${definition.id} at ${clock.monotonicMilliseconds()} ms`;
    };
    simulation.nodes.forEach((node) => {
      const isFirstRegion = node.process.region === regions[0];
      const demandShare = (): number => demandShareOf(isFirstRegion);
      void runGreedyEntryNode({
        node,
        random,
        grouping,
        account: definition,
        demandShare,
        onSpend,
      });
    });
  };

  definitions.forEach(scenario.isGreedy ? sendGreedily : send);
  await clock.advance(DURATION_MILLISECONDS);
  totals.takeovers += simulation.leases.takeovers();
  return violation;
}

void t.test('no account gets more than its rate and burst under any faults', async (test) => {
  const grouping = await createAccountGrouping();
  await fc.assert(
    fc.asyncProperty(scenarioArbitrary, async (scenario) => {
      const violation = await runSimulation(grouping, scenario);
      if (violation) throw new Error(`over rate and burst: ${violation}`);
    }),
    { numRuns: RUNS, seed: SEED },
  );
  test.comment(JSON.stringify(totals));
  // Guards against a test that passes because hardly any tokens are spent and hardly any faults have an effect.
  test.ok(totals.spent > 30 * RUNS);
  test.ok(totals.takeovers > 2 * RUNS);
  test.ok(totals.moves > RUNS);
});
