import type { LeaseTiming } from './LeaseTiming';

/**
 * Default timing of leases, as given in the design documentation.
 *
 * @public
 */
export const defaultLeaseTiming: LeaseTiming = {
  termMilliseconds: 9_000,
  marginFraction: 0.1,
  maximumOutageMilliseconds: 1_800_000,
};
