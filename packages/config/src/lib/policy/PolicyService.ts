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
}
