/** Counts of one account, from the end of the warm-up. */
export interface AccountCounts {
  readonly account: string;
  /** Calls that one bucket with the whole rate and burst lets through. */
  conforming: number;
  conformingRefused: number;
  admitted: number;
  /** Admitted calls above rate * t + burst in some window. */
  excess: number;
  /** Time that calls waited, summed, in milliseconds. */
  waitedMilliseconds: number;
}
