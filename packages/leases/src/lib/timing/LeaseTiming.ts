/**
 * Timing of leases. It must be the same on all nodes.
 *
 * @public
 */
export interface LeaseTiming {
  readonly termMilliseconds: number;
  /**
   * Fraction by which the holder shortens a duration and other nodes lengthen it, to allow for monotonic
   * clocks that run at different rates.
   */
  readonly marginFraction: number;
  /** Time without a renewal in the store after which the holder stops and a non-candidate may take over. */
  readonly maximumOutageMilliseconds: number;
}
