import type { PolicyTarget } from './PolicyTarget';

/**
 * How requests for a host name and a path prefix are treated.
 *
 * @public
 */
export interface PolicyRoute {
  readonly name: string;
  /** Host name in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly access: 'open' | 'keyed';
  /** Whether running the request twice does no harm. */
  readonly repeatable: boolean;
  /** Longest time from arrival to the final answer, in milliseconds; undefined for the caller's deadline alone. */
  readonly timeoutMilliseconds: number | undefined;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly latencyObjectiveMilliseconds: number | undefined;
  /** Importance of the route; a smaller rank is more important. */
  readonly rank: number;
  /** Services that share the requests by weight; at least one. */
  readonly targets: readonly PolicyTarget[];
  /** Most upstreams to which one request may be sent. */
  readonly maximumUpstreams: number;
}
