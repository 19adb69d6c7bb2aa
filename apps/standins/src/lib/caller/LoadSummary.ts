/**
 * What a caller stand-in has seen.
 *
 * @public
 */
export interface LoadSummary {
  /** Requests by status; "error" for connections that failed. */
  readonly byStatus: Readonly<Record<string, number>>;
  /** Refusals by reason. */
  readonly byReason: Readonly<Record<string, number>>;
  /** Whole responses whose digest did not match. */
  readonly damaged: number;
  readonly elapsedMilliseconds: number;
  readonly latencyMilliseconds: Readonly<Record<'p50' | 'p90' | 'p99' | 'max', number>>;
}
