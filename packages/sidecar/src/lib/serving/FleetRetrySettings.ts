/**
 * Repeated calls that the upstreams of one service may get, from all nodes together.
 *
 * @public
 */
export interface FleetRetrySettings {
  /** Repeated calls for each first attempt. */
  readonly ratio: number;
  /** Repeated calls beyond the ratio. */
  readonly burst: number;
}
