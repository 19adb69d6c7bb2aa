/**
 * Results of a load generator.
 *
 * @public
 */
export interface LoadSummary {
  /** Number of requests by status; "error" counts failed connections and timeouts. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Number of refusals by reason. */
  readonly byReason: Readonly<Record<string, number>>;
  /** Number of complete responses whose digest did not match. */
  readonly damaged: number;
  readonly elapsedMilliseconds: number;
  readonly latencyMilliseconds: Readonly<Record<'p50' | 'p90' | 'p99' | 'max', number>>;
}
