/**
 * Measures the resource usage of a node at several sizes and fits lines to it. Run with
 * `npx tsx bench/src/capacity/runCapacity.ts` after `npm run build`; `--help` lists the options. Writes the results to
 * bench/results/.
 */
import { mkdir, writeFile } from 'node:fs/promises';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import {
  createAccountSeries,
  createKeySeries,
  createRevisionSeries,
} from './createConfigurationSeries';
import { createCallSeries } from './createCallSeries';
import { createContactSeries } from './createContactSeries';
import { createMemberSeries } from './createMemberSeries';
import { createSubscriptionSeries } from './createSubscriptionSeries';
import { measureStoreCalls } from './measureStoreCalls';
import { printSeries } from './printSeries';
import { runSeries } from './runSeries';
import type { Series } from './Series';

const RESULTS_DIRECTORY = 'bench/results';
const FLEET_SIZES = [8, 16, 32];
const STORE_COUNT_MILLISECONDS = 18_000;

const seriesByName: Readonly<Record<string, () => Series>> = {
  members: createMemberSeries,
  registered: () => createContactSeries(false),
  polling: () => createContactSeries(true),
  subscriptions: createSubscriptionSeries,
  accounts: createAccountSeries,
  keys: createKeySeries,
  revisions: createRevisionSeries,
  calls: () => createCallSeries(false),
  claims: () => createCallSeries(true),
};
const names = [...Object.keys(seriesByName), 'store'];

const options = await yargs(hideBin(process.argv))
  .option('series', { array: true, string: true, choices: names, default: names })
  .option('sizes', { array: true, number: true, describe: 'sizes instead of the default ones' })
  .option('settle', { number: true, default: 8, describe: 'seconds before a measurement' })
  .option('runs', { number: true, default: 3 })
  .option('seconds', { number: true, default: 3, describe: 'length of a run' })
  .option('label', { string: true, default: '', describe: 'suffix of the result files' })
  .strict()
  .parseAsync();

const plan = {
  settleMilliseconds: options.settle * 1_000,
  runs: options.runs,
  runMilliseconds: options.seconds * 1_000,
};

async function save(name: string, result: unknown): Promise<void> {
  await mkdir(RESULTS_DIRECTORY, { recursive: true });
  const round = (_: string, value: unknown): unknown =>
    typeof value === 'number' ? Number(value.toPrecision(5)) : value;
  const text = `${JSON.stringify({ plan, ...(result as object) }, round, 1)}\n`;
  await writeFile(`${RESULTS_DIRECTORY}/capacity-${name}${options.label}.json`, text);
}

async function runStoreSeries(): Promise<void> {
  const points = [];
  for (const nodes of options.sizes ?? FLEET_SIZES) {
    const calls = await measureStoreCalls(nodes, plan.settleMilliseconds, STORE_COUNT_MILLISECONDS);
    points.push({ nodes, ...calls });
  }
  console.log('\nstore calls per second');
  console.table(points);
  await save('store', { points });
}

for (const name of options.series) {
  const create = seriesByName[name];
  if (create === undefined) {
    await runStoreSeries();
  } else {
    const result = await runSeries(create(), options.sizes, plan);
    printSeries(result);
    await save(name, result);
  }
}
// Idle connections of libraries can keep the process alive after all work is done.
// eslint-disable-next-line n/no-process-exit
process.exit(0);
