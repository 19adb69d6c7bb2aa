/**
 * Measures goodput, refusals by priority, the account with the smallest share of served requests and the recovery time
 * of one upstream, with admission control and, as the baseline, without it.
 *
 * Run: npx tsx bench/src/overload.ts [seed]
 */
import type { RunStatistics } from './lib/overload/createRunStatistics';
import { runScenario } from './lib/overload/runScenario';
import type { Scenario } from './lib/overload/Scenario';
import { printReport } from './lib/printReport';

const DEFAULT_SEED = 20_261_204;
const WARM_MILLISECONDS = 2_000;
const TRIGGER_END_MILLISECONDS = 16_000;

const seed = Number(process.argv[2] ?? DEFAULT_SEED);

const steady: Scenario = {
  name: 'steady',
  control: true,
  seed,
  workers: 10,
  announcedSlots: 10,
  demand: 0.8,
  surge: 1,
  durationMilliseconds: 12_000,
};

const slowPhase: Scenario = {
  ...steady,
  name: 'slow phase',
  trigger: {
    fromMilliseconds: 8_000,
    untilMilliseconds: TRIGGER_END_MILLISECONDS,
    slowness: 4,
    demandFactor: 2,
  },
  durationMilliseconds: 30_000,
};

const scenarios: readonly Scenario[] = [
  ...[0.5, 0.8, 1, 1.2, 2, 4].map((demand) => ({ ...steady, name: `demand ${demand}x`, demand })),
  { ...steady, name: 'demand 2x, twice the slots announced', demand: 2, announcedSlots: 20 },
  { ...steady, name: 'one account at 5x', surge: 5 },
  slowPhase,
  { ...slowPhase, name: 'slow phase, twice the slots announced', announcedSlots: 20 },
];

function describeRun(scenario: Scenario, statistics: RunStatistics): Record<string, unknown> {
  const { trigger, durationMilliseconds, control } = scenario;
  const before = statistics.goodput(
    WARM_MILLISECONDS,
    trigger?.fromMilliseconds ?? durationMilliseconds,
  );
  const during = trigger && statistics.goodput(trigger.fromMilliseconds, trigger.untilMilliseconds);
  const recovery = trigger && statistics.recovery(trigger.untilMilliseconds, 0.95 * before);
  const worst = statistics.worstAccount();
  return {
    scenario: scenario.name,
    control,
    goodput: Math.round(before),
    goodputInTrigger: during && Math.round(during),
    recoveryMilliseconds: trigger && (recovery ?? 'never'),
    refusals: statistics.refusalsByPriority(),
    failedShares: statistics.failedShareByPriority(),
    worst: `${worst.account} ${worst.servedShare}`,
  };
}

const rows: Record<string, unknown>[] = [];
for (const scenario of scenarios) {
  for (const control of [true, false]) {
    const run = { ...scenario, control };
    rows.push(describeRun(run, await runScenario(run)));
  }
}
printReport({ name: 'overload', seed, rows });
