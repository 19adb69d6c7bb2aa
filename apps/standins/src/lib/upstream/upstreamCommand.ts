import type { ArgumentsCamelCase, Argv } from 'yargs';

import { createStubUpstream } from './createStubUpstream';

interface UpstreamArguments {
  readonly service: string;
  readonly node?: string;
  readonly port: number;
  readonly slots: number;
  readonly connections: number;
  readonly latency: number;
  readonly coldStart: number;
  readonly chain: readonly string[];
  readonly seed: number;
}

function build(yargs: Argv): Argv<UpstreamArguments> {
  return yargs
    .option('service', { type: 'string', demandOption: true, describe: 'service id' })
    .option('node', { type: 'string', describe: "address:port of the node's outgoing listener" })
    .option('port', { type: 'number', default: 0, describe: 'port to listen on' })
    .option('slots', { type: 'number', default: 32, describe: 'calls run at once' })
    .option('connections', { type: 'number', default: 256, describe: 'connections announced' })
    .option('latency', { type: 'number', default: 0, describe: 'time of a call, in ms' })
    .option('cold-start', { type: 'number', default: 0, describe: 'time of the cold start, in ms' })
    .option('chain', { type: 'string', array: true, default: [], describe: 'paths called in turn' })
    .option('seed', {
      type: 'number',
      default: 1,
      describe: 'seed of random choices',
    }) as unknown as Argv<UpstreamArguments>;
}

async function run(given: ArgumentsCamelCase<UpstreamArguments>): Promise<void> {
  const { chain, coldStart, connections, latency, node, port, seed, service, slots } = given;
  const upstream = createStubUpstream({
    service,
    node,
    slots,
    connections,
    chain,
    seed,
    listen: { address: '127.0.0.1', port },
    latencyMilliseconds: latency,
    coldStartMilliseconds: coldStart,
    crash: () => process.kill(process.pid, 'SIGKILL'),
  });
  process.once('SIGTERM', () => {
    upstream.stop().catch(() => {
      process.exitCode = 1;
    });
  });
  await upstream.start();
  process.stdout.write(`${JSON.stringify({ listening: upstream.address() })}\n`);
}

/**
 * `buckthornslip-standins upstream`.
 *
 * @internal
 */
export const upstreamCommand = {
  command: 'upstream',
  describe: 'run an upstream stand-in',
  builder: build,
  handler: run,
};
