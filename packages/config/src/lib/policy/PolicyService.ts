import type { ServiceId } from '@buckthornslip/common';

/**
 * A group of upstreams that serve the same routes.
 *
 * @public
 */
export interface PolicyService {
  readonly id: ServiceId;
  /** Maximum number of connections of each upstream, from all callers together. */
  readonly connections: number;
  /** Time for which an upstream is cold after its start, in milliseconds; undefined if the operator states none. */
  readonly slowStartMilliseconds: number | undefined;
  /** Requests per second that a cold upstream takes from all hosts together; undefined for no limit. */
  readonly warmUpPerSecond: number | undefined;
  /** Path of the upstreams' health responses; undefined if they have none. */
  readonly healthPath: string | undefined;
}
