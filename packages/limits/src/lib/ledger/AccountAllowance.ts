/**
 * What an account pays for, over the whole fleet.
 *
 * @public
 */
export interface AccountAllowance {
  readonly ratePerSecond: number;
  /** Requests that may come at once. */
  readonly burst: number;
}
