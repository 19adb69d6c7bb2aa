/**
 * CPU time, memory and I/O that a process uses.
 *
 * @internal
 */
export interface ResourceUsage {
  /** Share of one core, in percent. */
  readonly cpuPercent: number;
  /** VmRSS, in megabytes of 2^20 bytes. */
  readonly residentMegabytes: number;
  /** RssAnon, in megabytes: heap and buffers without file-backed pages such as the program text. */
  readonly anonymousMegabytes: number;
  /** VmHWM, in megabytes. */
  readonly peakMegabytes: number;
  /** Pss in smaps_rollup, in megabytes. Shared pages are divided among the processes that share them. */
  readonly proportionalMegabytes: number;
  /** Bytes read and written by system calls, in kilobytes per second; see {@link readCounters}. */
  readonly transferredKilobytesPerSecond: number;
}
