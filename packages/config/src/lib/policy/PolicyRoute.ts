import type { RegionId } from '@buckthornslip/common';

import type { PolicyTarget } from './PolicyTarget';

/** Direction in which a route carries large bodies, if any. */
export type LargeBody = 'none' | 'request' | 'response';

/**
 * A route: how requests for its host name and path prefix are handled.
 *
 * @public
 */
export interface PolicyRoute {
  readonly name: string;
  /** Host name in lower case. */
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly access: 'open' | 'keyed';
  /** Whether it is safe to execute the request more than once. */
  readonly repeatable: boolean;
  /** Whether requests or responses usually have large bodies. */
  readonly largeBody: LargeBody;
  /**
   * Maximum time from the arrival of the request to the final response, in milliseconds; undefined if only the caller's
   * deadline applies.
   */
  readonly timeoutMilliseconds: number | undefined;
  /** Latency objective: time within which a response keeps its full value, in milliseconds. */
  readonly latencyObjectiveMilliseconds: number | undefined;
  /** Priority rank of the route; a lower rank is more important. */
  readonly rank: number;
  /** Services among which the requests are split by weight; at least one. */
  readonly targets: readonly PolicyTarget[];
  /** Maximum number of upstreams to which one request may be sent. */
  readonly maximumUpstreams: number;
  /** Regions whose upstreams may serve the route's requests; undefined for all. */
  readonly allowedRegions: ReadonlySet<RegionId> | undefined;
}
