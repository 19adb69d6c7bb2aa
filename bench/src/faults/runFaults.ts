import { setTimeout as sleep } from 'node:timers/promises';

import { createSeededRandom } from '@buckthornslip/common';

import type { DemoFleet } from '../demo/DemoFleet';
import type { DemoHost } from '../demo/DemoHost';
import { runCtl } from '../demo/runCtl';
import { startFleet } from '../demo/startFleet';
import type { CallRecord } from './CallRecord';
import { sendUntilAnswered } from './sendUntilAnswered';

const SEED = 20_261_204;
const CALLS_PER_SECOND = 40;
const SETTLE_MILLISECONDS = 4_000;

interface Scenario {
  readonly name: string;
  readonly milliseconds: number;
  readonly inject: (fleet: DemoFleet) => Promise<void>;
}

function hostsOf(fleet: DemoFleet, service: string): readonly DemoHost[] {
  return fleet.hosts.filter((host) => host.service === service);
}

function firstOf(fleet: DemoFleet, service: string): DemoHost {
  return hostsOf(fleet, service)[0] as DemoHost;
}

/** Scenarios in the order in which they run on one fleet. */
const scenarios: readonly Scenario[] = [
  { name: 'no fault', milliseconds: 5_000, inject: async () => undefined },
  {
    name: 'store down for 15 s',
    milliseconds: 20_000,
    inject: async (fleet) => {
      await fleet.setStoreFaults({ down: true });
      await sleep(15_000);
      await fleet.setStoreFaults({ down: false });
    },
  },
  {
    name: 'store loses 50 write responses',
    milliseconds: 8_000,
    inject: (fleet) => fleet.setStoreFaults({ loseWriteResponses: 50 }),
  },
  {
    name: 'a node of the service paused for 14 s',
    milliseconds: 22_000,
    inject: async (fleet) => {
      const node = fleet.node(firstOf(fleet, 'subsidies'));
      node.pause();
      await sleep(14_000);
      node.resume();
    },
  },
  {
    name: 'an entry node killed',
    milliseconds: 10_000,
    inject: async (fleet) => fleet.node(firstOf(fleet, 'balances')).kill(),
  },
  {
    name: 'a node of the service killed',
    milliseconds: 15_000,
    inject: async (fleet) => fleet.node(firstOf(fleet, 'subsidies')).kill(),
  },
];

async function countRuns(fleet: DemoFleet): Promise<ReadonlyMap<string, number>> {
  const total = new Map<string, number>();
  for (const host of hostsOf(fleet, 'subsidies')) {
    const response = await fetch(`http://${fleet.upstreamAddress(host)}/counters`);
    const { runs } = (await response.json()) as { readonly runs: Record<string, number> };
    for (const [key, count] of Object.entries(runs)) total.set(key, (total.get(key) ?? 0) + count);
  }
  return total;
}

function summarize(
  name: string,
  records: readonly CallRecord[],
  runs: ReadonlyMap<string, number>,
) {
  const runsOf = ({ key }: CallRecord): number => runs.get(key) ?? 0;
  return {
    scenario: name,
    requests: records.length,
    firstTry: records.filter(({ answers }) => answers[0] === '200').length,
    answered: records.filter(({ isAnswered }) => isAnswered).length,
    ranTwice: records.filter((record) => runsOf(record) > 1).length,
    answeredButNotRun: records.filter((record) => record.isAnswered && runsOf(record) === 0).length,
    notRunButRan: records.filter((record) => record.isNotRun && runsOf(record) > 0).length,
  };
}

function countAnswers(records: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const answer of records.flatMap(({ answers }) => answers)) {
    counts[answer] = (counts[answer] ?? 0) + 1;
  }
  return counts;
}

async function runScenario(fleet: DemoFleet, key: string, scenario: Scenario, index: number) {
  const random = createSeededRandom(SEED + index);
  const pending: Promise<CallRecord>[] = [];
  const injected = scenario.inject(fleet);
  const end = performance.now() + scenario.milliseconds;
  while (performance.now() < end) {
    const name = `${index}-${pending.length}`;
    pending.push(sendUntilAnswered(fleet.hosts, key, name, random));
    await sleep(1_000 / CALLS_PER_SECOND);
  }
  await injected;
  return Promise.all(pending);
}

const fleet = await startFleet(() => undefined);
await runCtl(['manifest', 'publish', 'examples/auklu/manifest.toml', ...fleet.ctlOptions]);
const granted = await runCtl(['key', 'grant', 'riga-city', ...fleet.ctlOptions]);
await sleep(SETTLE_MILLISECONDS);
const rows = [];
for (const [index, scenario] of scenarios.entries()) {
  const records = await runScenario(fleet, String(granted.key), scenario, index);
  rows.push(summarize(scenario.name, records, await countRuns(fleet)));
  console.log(scenario.name, JSON.stringify(countAnswers(records)));
}
console.table(rows);
fleet.kill();
const isBroken = rows.some((row) => row.ranTwice + row.answeredButNotRun + row.notRunButRan > 0);
process.exitCode = isBroken ? 1 : 0;
