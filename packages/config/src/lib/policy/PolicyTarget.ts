import type { ServiceId } from '@buckthornslip/common';

/**
 * A service that receives a share of the requests of a route.
 *
 * @public
 */
export interface PolicyTarget {
  readonly service: ServiceId;
  /** Weight relative to the other targets of the route. */
  readonly weight: number;
}
