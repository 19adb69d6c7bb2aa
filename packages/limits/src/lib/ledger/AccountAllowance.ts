/**
 * Rate limit of an account across the whole fleet.
 *
 * @public
 */
export interface AccountAllowance {
  readonly ratePerSecond: number;
  /** Number of requests that may arrive at once. */
  readonly burst: number;
}
