/**
 * Measures how many calls the account limits admit, how many conforming calls they refuse and how many messages they
 * need. The baseline gives each node a fixed, equal part of the rate and burst.
 *
 * Run: npx tsx bench/src/limits.ts [seed]
 */
import type { RegionId } from '@buckthornslip/common';
import { createAccountGrouping, limitsPartition } from '@buckthornslip/limits';
import type { AccountGrouping } from '@buckthornslip/limits';

import type { AccountCounts } from './lib/limits/AccountCounts';
import type { LimitsSimulation } from './lib/limits/createLimitsSimulation';
import { limitsAccounts } from './lib/limits/limitsAccounts';
import type { LimitsScenario } from './lib/limits/LimitsScenario';
import { runLimitsScenario } from './lib/limits/runLimitsScenario';
import type { LimitsRun } from './lib/limits/runLimitsScenario';
import { printReport } from './lib/printReport';

const DEFAULT_SEED = 20_261_204;
const FAULT_MILLISECONDS = 70_000;

const seed = Number(process.argv[2] ?? DEFAULT_SEED);

const base: LimitsScenario = {
  name: 'steady',
  seed,
  nodes: 8,
  demand: 0.9,
  surge: 1,
  firstRegionShare: 0.7,
};

const percent = (share: number): string => `${(share * 100).toFixed(3)} %`;

function faultScenarios(grouping: AccountGrouping): readonly LimitsScenario[] {
  const partitions = limitsAccounts.map(({ id }) =>
    limitsPartition('east' as RegionId, grouping.groupOf(id)),
  );
  const killHolders = (simulation: LimitsSimulation): void => {
    const holders = new Set(partitions.map((partition) => simulation.leases.holderOf(partition)));
    simulation.nodes.forEach((node, slot) => {
      if (holders.has(node.process.name)) simulation.restart(slot);
    });
  };
  const handOver = (simulation: LimitsSimulation): void =>
    new Set(partitions).forEach((partition) => simulation.leases.handOver(partition));
  const stopStore = (simulation: LimitsSimulation): void => {
    Object.assign(simulation.faults, { storeFailures: 1 });
  };
  const at = (apply: (simulation: LimitsSimulation) => void): LimitsScenario['fault'] => ({
    atMilliseconds: FAULT_MILLISECONDS,
    apply,
  });
  return [
    { ...base, name: 'holders of one region killed', fault: at(killHolders) },
    { ...base, name: 'holders of one region hand over', fault: at(handOver) },
    { ...base, name: 'store down', fault: at(stopStore) },
  ];
}

function describeRun(scenario: LimitsScenario, run: LimitsRun, system: string): object {
  const seconds = run.measuredMilliseconds / 1_000;
  const sum = (pick: (counts: AccountCounts) => number, of = run.counts): number =>
    of.reduce((total, counts) => total + pick(counts), 0);
  const refusedShare = (counts: AccountCounts): number =>
    counts.conformingRefused / Math.max(1, counts.conforming);
  // The surging account exceeds its rate, so its refusals are expected.
  const inside = run.counts.filter(({ account }) => scenario.surge === 1 || account !== 'surging');
  const [worst] = [...inside].sort((a, b) => refusedShare(b) - refusedShare(a));
  const limit = limitsAccounts.reduce((total, a) => total + a.ratePerSecond * seconds + a.burst, 0);
  const pairs = scenario.nodes * limitsAccounts.length;
  return {
    scenario: scenario.name,
    nodes: scenario.nodes,
    demand: scenario.demand,
    system,
    admitted: sum((counts) => counts.admitted),
    limit,
    excess: sum((counts) => counts.excess),
    refusedInsideRate: percent(
      sum((c) => c.conformingRefused, inside) / sum((c) => c.conforming, inside),
    ),
    worst: worst && `${worst.account} ${percent(refusedShare(worst))}`,
    meanWaitMilliseconds: (
      sum((c) => c.waitedMilliseconds, inside) / sum((c) => c.conforming, inside)
    ).toFixed(2),
    messagesPerSecond: Math.round(run.messagesPerSecond),
    messagesPerNodeAndAccount: (run.messagesPerSecond / pairs).toFixed(2),
  };
}

const grouping = await createAccountGrouping();
const steady = [2, 8, 32].flatMap((nodes) =>
  [0.5, 0.9, 1].map((demand) => ({ ...base, nodes, demand })),
);
const scenarios: readonly LimitsScenario[] = [
  ...steady,
  { ...base, name: 'one account at 5x', surge: 5 },
  ...faultScenarios(grouping),
];
const rows: Record<string, unknown>[] = [];
for (const scenario of scenarios) {
  for (const isBaseline of [false, true]) {
    const run = await runLimitsScenario(scenario, grouping, isBaseline);
    rows.push({ ...describeRun(scenario, run, isBaseline ? 'equal parts' : 'account limits') });
  }
}
printReport({ name: 'limits', seed, rows });
