/**
 * Rate and capacity of a {@link TokenBucket}.
 *
 * @public
 */
export interface TokenRate {
  readonly tokensPerSecond: number;
  /** Largest number of tokens that the bucket holds. */
  readonly capacity: number;
}
