/**
 * Counters of a stub upstream.
 *
 * @public
 */
export interface UpstreamCounters {
  readonly started: number;
  readonly completed: number;
  readonly cancelled: number;
  readonly shed: number;
  readonly running: number;
  /** Executions by idempotency key, or by marker for requests without a key. */
  readonly runs: Readonly<Record<string, number>>;
}
