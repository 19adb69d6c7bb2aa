/**
 * Response of a ledger to a request for tokens.
 *
 * @public
 */
export interface LedgerGrant {
  /** Number of tokens granted, which may be fewer than requested. */
  readonly tokens: number;
  /** Time until the next token in milliseconds, if none was granted. */
  readonly retryAfterMilliseconds: number;
}
