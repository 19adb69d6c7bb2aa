/**
 * Tokens that are earned at a rate and spent by calls, bytes or log lines.
 *
 * @public
 */
export interface TokenBucket {
  /** @returns Number of tokens, with fractions; negative after more were taken than there were. */
  readonly available: () => number;
  /** @param count - Number of tokens to remove; a negative number adds tokens, up to the capacity. */
  readonly take: (count: number) => void;
  /**
   * @param count - Number of tokens.
   * @returns Time until the bucket holds as many, in milliseconds; 0 if it does now, Infinity if it never will.
   */
  readonly millisecondsUntil: (count: number) => number;
}
