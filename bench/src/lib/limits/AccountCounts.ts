/** Counts for one account since the end of the warm-up. */
export interface AccountCounts {
  readonly account: string;
  /** Calls within the rate and burst of the account, according to one token bucket for all nodes. */
  conforming: number;
  /** Conforming calls that were refused all the same. */
  conformingRefused: number;
  admitted: number;
  /** Admitted calls beyond rate * t + burst in some window of length t. */
  excess: number;
  /** Total time for which calls waited for a token, in milliseconds. */
  waitedMilliseconds: number;
}
