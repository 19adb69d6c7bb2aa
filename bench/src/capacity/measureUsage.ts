import { setTimeout as sleep } from 'node:timers/promises';

import type { Counters } from './readCounters';
import { readCounters } from './readCounters';
import type { ResourceUsage } from './ResourceUsage';

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

function usageBetween(before: Counters, after: Counters): ResourceUsage {
  const elapsed = after.atMilliseconds - before.atMilliseconds;
  const { anonymous, peak, proportional, resident } = after.memoryMegabytes;
  return {
    cpuPercent: ((after.cpuMilliseconds - before.cpuMilliseconds) / elapsed) * 100,
    residentMegabytes: resident,
    anonymousMegabytes: anonymous,
    peakMegabytes: peak,
    proportionalMegabytes: proportional,
    transferredKilobytesPerSecond: (after.transferredBytes - before.transferredBytes) / elapsed,
  };
}

/**
 * Measures the resource usage of a process in several successive runs.
 *
 * @param pid - Process id.
 * @param runs - Number of runs.
 * @param runMilliseconds - Length of a run, in milliseconds.
 * @returns Median of each metric over the runs.
 * @internal
 */
export async function measureUsage(
  pid: number,
  runs: number,
  runMilliseconds: number,
): Promise<ResourceUsage> {
  const usages: ResourceUsage[] = [];
  let before = await readCounters(pid);
  for (let run = 0; run < runs; run += 1) {
    await sleep(runMilliseconds);
    const after = await readCounters(pid);
    usages.push(usageBetween(before, after));
    before = after;
  }
  const medianOf = (name: keyof ResourceUsage): number =>
    median(usages.map((usage) => usage[name]));
  return {
    cpuPercent: medianOf('cpuPercent'),
    residentMegabytes: medianOf('residentMegabytes'),
    anonymousMegabytes: medianOf('anonymousMegabytes'),
    peakMegabytes: medianOf('peakMegabytes'),
    proportionalMegabytes: medianOf('proportionalMegabytes'),
    transferredKilobytesPerSecond: medianOf('transferredKilobytesPerSecond'),
  };
}
