/**
 * Answer of an account's ledger.
 *
 * @public
 */
export interface LedgerGrant {
  /** Tokens granted; may be fewer than wanted. */
  readonly tokens: number;
  /** Time until the next token, in milliseconds, if none was granted. */
  readonly retryAfterMilliseconds: number;
}
