/**
 * Totals over the members of a locality, updated with each choice and report.
 *
 * @internal
 */
export interface LocalityTotals {
  /** Total calls of the members: their last reports and the attempts of this node started since. */
  load: number;
  /** Monotonic time of the most recent load report, in milliseconds. */
  loadAt: number;
  /** Sum of the members' limits. */
  limit: number;
  /** For each priority rank, the monotonic time until which all members are known to refuse it, in milliseconds. */
  readonly cutOffUntil: number[];
}
