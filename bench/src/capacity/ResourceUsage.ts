/**
 * What a process uses.
 *
 * @internal
 */
export interface ResourceUsage {
  /** Share of one core, in percent. */
  readonly cpuPercent: number;
  /** VmRSS, in megabytes of 2^20 bytes. */
  readonly residentMegabytes: number;
  /** RssAnon, in megabytes: heap and buffers without the program's own pages. */
  readonly anonymousMegabytes: number;
  /** VmHWM, in megabytes. */
  readonly peakMegabytes: number;
  /** Pss of smaps_rollup, in megabytes; pages shared with other processes count in part. */
  readonly proportionalMegabytes: number;
  /** Bytes read and written by system calls, in kilobytes a second; see {@link readCounters}. */
  readonly transferredKilobytesPerSecond: number;
}
