import type { ServiceId } from '@buckthornslip/common';

/**
 * One of the services that share the requests of a route.
 *
 * @public
 */
export interface PolicyTarget {
  readonly service: ServiceId;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}
