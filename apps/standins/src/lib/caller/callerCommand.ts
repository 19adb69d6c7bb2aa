import type { ArgumentsCamelCase, Argv } from 'yargs';

import { createLoadGenerator } from './createLoadGenerator';
import { formatSummary } from './formatSummary';
import type { LoadGeneratorOptions } from './LoadGeneratorOptions';

interface CallerArguments {
  readonly address: string;
  readonly key?: string;
  readonly method: string;
  readonly path: string;
  readonly count: number;
  readonly rate: number;
  readonly timeout: number;
  readonly bodyBytes: number;
  readonly idempotent: boolean;
  readonly marker?: string;
  readonly json: boolean;
}

function build(yargs: Argv): Argv<CallerArguments> {
  return yargs
    .option('address', { type: 'string', demandOption: true, describe: 'address:port of a node' })
    .option('key', { type: 'string', describe: 'client account key' })
    .option('method', { type: 'string', default: 'GET', describe: 'HTTP method' })
    .option('path', { type: 'string', demandOption: true, describe: 'path and query' })
    .option('count', { type: 'number', default: 1, describe: 'number of requests' })
    .option('rate', { type: 'number', default: 100, describe: 'requests a second' })
    .option('timeout', { type: 'number', default: 10_000, describe: 'time per request, in ms' })
    .option('body-bytes', { type: 'number', default: 0, describe: 'length of the body' })
    .option('idempotent', { type: 'boolean', default: false, describe: 'send Idempotency-Key' })
    .option('marker', { type: 'string', describe: 'value of X-Marker' })
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'print JSON',
    }) as unknown as Argv<CallerArguments>;
}

async function run(given: ArgumentsCamelCase<CallerArguments>): Promise<void> {
  const { rate, timeout, json, ...rest } = given;
  const options: LoadGeneratorOptions = {
    ...rest,
    ratePerSecond: rate,
    timeoutMilliseconds: timeout,
  };
  const summary = await createLoadGenerator(options).run();
  process.stdout.write(`${json ? JSON.stringify(summary) : formatSummary(summary)}\n`);
}

/**
 * `buckthornslip-standins caller`.
 *
 * @internal
 */
export const callerCommand = {
  command: 'caller',
  describe: 'send requests at a rate and print what came back',
  builder: build,
  handler: run,
};
