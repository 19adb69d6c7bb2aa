/**
 * Sums over the candidates of a locality, kept up to date by each choice and report.
 *
 * @internal
 */
export interface LocalityTotals {
  /** Sum of the candidates' calls: last reports and own attempts started since. */
  load: number;
  /** Monotonic time of the last load report, in milliseconds. */
  loadAt: number;
  /** Sum of the limits. */
  limit: number;
  /** For each priority rank, monotonic time until which every tracked refuses it, in milliseconds. */
  readonly cutOffUntil: number[];
}
