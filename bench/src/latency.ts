/**
 * Measures the latency that one and two hops add to a direct call. Run with `npx tsx bench/src/latency.ts`. Options:
 * `--seconds` per measurement, `--seed`, `--profile` for the directory of CPU profiles of the nodes, `--json`.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { bundleScripts } from './lib/bundleScripts';
import type { BenchProcess } from './lib/startProcess';
import { startProcess } from './lib/startProcess';

const LOW_RATE_PER_SECOND = 200;

/** Share of one core that the busiest node of a path uses at high load. */
const HIGH_LOAD_CORE_SHARE = 0.7;

/** Rate at which the CPU cost of a call is measured, from which the rate at high load is computed. */
const PROBE_RATE_PER_SECOND = 1_500;

const GENERATORS = 2;

interface Path {
  readonly name: string;
  readonly address: string;
  readonly nodes: readonly BenchProcess[];
}

interface Measurement {
  readonly path: string;
  readonly load: string;
  readonly ratePerSecond: number;
  readonly requests: number;
  readonly failures: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly addedP50Milliseconds: number;
  readonly addedP99Milliseconds: number;
  /** Calls per second that one core of the busiest node, or of the upstream for direct calls, can handle. */
  readonly callsPerSecondPerCore: number | undefined;
  /** Share of a core that the busiest node used. */
  readonly coreShare: number | undefined;
}

const options = await yargs(hideBin(process.argv))
  .option('seconds', { type: 'number', default: 8 })
  .option('seed', { type: 'number', default: 1 })
  .option('profile', { type: 'string' })
  .option('json', { type: 'boolean', default: false })
  .strict()
  .parseAsync();

const scripts = await bundleScripts(['upstreamProcess', 'nodeProcess', 'loadProcess']);

const start = (name: string, profile?: string): BenchProcess =>
  startProcess(scripts.url(name), profile);

async function cpuOf(nodes: readonly BenchProcess[]): Promise<readonly number[]> {
  const replies = await Promise.all(nodes.map((node) => node.send({ kind: 'cpu' })));
  return replies.map(({ cpuMilliseconds = 0 }) => cpuMilliseconds);
}

async function measure(generators: readonly BenchProcess[], path: Path, ratePerSecond: number) {
  const before = await cpuOf(path.nodes);
  const startedAt = performance.now();
  const replies = await Promise.all(
    generators.map((generator, index) =>
      generator.send({
        kind: 'load',
        address: path.address,
        ratePerSecond: ratePerSecond / generators.length,
        milliseconds: options.seconds * 1000,
        seed: options.seed + index,
      }),
    ),
  );
  const elapsed = performance.now() - startedAt;
  const after = await cpuOf(path.nodes);
  const used = Math.max(0, ...after.map((cpu, index) => cpu - (before[index] ?? 0)));
  const loads = replies.flatMap(({ load }) => load ?? []);
  const mean = (pick: (load: (typeof loads)[number]) => number): number =>
    loads.reduce((sum, load) => sum + pick(load), 0) / loads.length;
  return {
    requests: mean((load) => load.requests) * loads.length,
    failures: mean((load) => load.failures) * loads.length,
    p50Milliseconds: mean((load) => load.p50Milliseconds),
    // Takes the slower generator, as an average of percentiles would hide a long tail.
    p99Milliseconds: Math.max(...loads.map((load) => load.p99Milliseconds)),
    coreShare: used / elapsed,
    callsPerSecondPerCore: used > 0 ? (ratePerSecond * elapsed) / used : undefined,
  };
}

async function startPaths() {
  const upstream = start('upstreamProcess');
  const single = start('nodeProcess', options.profile);
  const entry = start('nodeProcess', options.profile);
  const serving = start('nodeProcess', options.profile);
  const { address = '' } = await upstream.send({ kind: 'address' });
  const one = await single.send({ kind: 'announce', upstream: address });
  const { peerAddress = '' } = await serving.send({ kind: 'announce', upstream: address });
  const two = await entry.send({ kind: 'peer', host: 'serving', peerAddress });
  const paths: readonly Path[] = [
    // The upstream is a bare HTTP server, whose cost is a lower bound for the cost of a hop.
    { name: 'direct', address, nodes: [upstream] },
    { name: 'one hop', address: one.address ?? '', nodes: [single] },
    { name: 'two hops', address: two.address ?? '', nodes: [entry, serving] },
  ];
  return { paths, processes: [upstream, single, entry, serving] };
}

async function measurePaths(
  generators: readonly BenchProcess[],
  paths: readonly Path[],
  load: string,
  rateOf: (path: Path) => number,
): Promise<readonly Measurement[]> {
  const [direct, ...others] = paths;
  const measurements: Measurement[] = [];
  for (const path of others) {
    const ratePerSecond = rateOf(path);
    // Measures direct calls at the same rate, since the delays of the generators themselves grow with the rate.
    const base = await measure(generators, direct as Path, ratePerSecond);
    const result = await measure(generators, path, ratePerSecond);
    const none = { addedP50Milliseconds: 0, addedP99Milliseconds: 0 };
    measurements.push({ path: 'direct', load, ratePerSecond, ...base, ...none });
    measurements.push({
      path: path.name,
      load,
      ratePerSecond,
      ...result,
      addedP50Milliseconds: result.p50Milliseconds - base.p50Milliseconds,
      addedP99Milliseconds: result.p99Milliseconds - base.p99Milliseconds,
    });
  }
  return measurements;
}

function printTable(measurements: readonly Measurement[]): void {
  const format = (value: number | undefined, digits: number): string =>
    value?.toFixed(digits) ?? '-';
  console.table(
    measurements.map((one) => ({
      path: one.path,
      load: one.load,
      'calls/s': Math.round(one.ratePerSecond),
      failures: one.failures,
      'p50 ms': format(one.p50Milliseconds, 3),
      'p99 ms': format(one.p99Milliseconds, 3),
      'added p50': format(one.addedP50Milliseconds, 3),
      'added p99': format(one.addedP99Milliseconds, 3),
      'core share': format(one.coreShare, 2),
      'calls/s per core': format(one.callsPerSecondPerCore, 0),
    })),
  );
}

const { paths, processes } = await startPaths();
const generators = Array.from({ length: GENERATORS }, () => start('loadProcess'));
const capacity = new Map<string, number>();
for (const path of paths.slice(1)) {
  const probe = await measure(generators, path, PROBE_RATE_PER_SECOND);
  capacity.set(path.name, probe.callsPerSecondPerCore ?? PROBE_RATE_PER_SECOND);
}
const low = await measurePaths(generators, paths, 'low', () => LOW_RATE_PER_SECOND);
const high = await measurePaths(
  generators,
  paths,
  'high',
  ({ name }) => HIGH_LOAD_CORE_SHARE * (capacity.get(name) ?? 0),
);
const measurements = [...low, ...high];
if (!options.json) printTable(measurements);
console.log(JSON.stringify({ seed: options.seed, seconds: options.seconds, measurements }));
await Promise.all([...processes, ...generators].map((one) => one.stop()));
await scripts.remove();
