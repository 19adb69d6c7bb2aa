/**
 * Responses that a caller received for one non-repeatable request over all its attempts.
 */
export interface CallRecord {
  /** Idempotency key. */
  readonly key: string;
  /** Status and reason of each response, in order; "lost" if the connection failed or the attempt timed out. */
  readonly answers: readonly string[];
  /** Whether every response said that the request was not executed. */
  readonly isNotRun: boolean;
  /** Whether one of the attempts got status 200. */
  readonly isAnswered: boolean;
}
