import { readFile } from 'node:fs/promises';

/** Length of a clock tick in /proc/<pid>/stat on Linux, in milliseconds. */
const TICK_MILLISECONDS = 10;

const KIBIBYTES_PER_MEGABYTE = 1024;

/** Position of utime after the command name in /proc/<pid>/stat; stime follows it. */
const USER_TIME_POSITION = 11;

/**
 * Counters of a process since its start.
 *
 * @internal
 */
export interface Counters {
  readonly atMilliseconds: number;
  readonly cpuMilliseconds: number;
  readonly transferredBytes: number;
  readonly memoryMegabytes: {
    readonly resident: number;
    readonly anonymous: number;
    readonly peak: number;
    readonly proportional: number;
  };
}

function fieldOf(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'mu').exec(text)?.[1] ?? Number.NaN);
}

/**
 * Reads the counters of a process. The transferred bytes are rchar + wchar in /proc/<pid>/io, which cover all read and
 * write calls. After its start, a node makes hardly any except on its sockets.
 *
 * @param pid - Process id.
 * @returns Counters of the process.
 * @internal
 */
export async function readCounters(pid: number): Promise<Counters> {
  const read = (file: string): Promise<string> => readFile(`/proc/${pid}/${file}`, 'utf8');
  const atMilliseconds = performance.now();
  const [stat, status, rollup, io] = await Promise.all(
    ['stat', 'status', 'smaps_rollup', 'io'].map(read),
  );
  const fields = (stat ?? '').slice((stat ?? '').lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_POSITION]) + Number(fields[USER_TIME_POSITION + 1]);
  const megabytes = (text: string | undefined, name: string): number =>
    fieldOf(text ?? '', name) / KIBIBYTES_PER_MEGABYTE;
  return {
    atMilliseconds,
    cpuMilliseconds: ticks * TICK_MILLISECONDS,
    transferredBytes: fieldOf(io ?? '', 'rchar') + fieldOf(io ?? '', 'wchar'),
    memoryMegabytes: {
      resident: megabytes(status, 'VmRSS'),
      anonymous: megabytes(status, 'RssAnon'),
      peak: megabytes(status, 'VmHWM'),
      proportional: megabytes(rollup, 'Pss'),
    },
  };
}
