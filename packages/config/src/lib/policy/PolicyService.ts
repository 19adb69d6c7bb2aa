import type { ServiceId } from '@buckthornslip/common';

/**
 * A group of upstreams that serve the same routes.
 *
 * @public
 */
export interface PolicyService {
  readonly id: ServiceId;
  /** Connections that each upstream accepts from all callers together. */
  readonly connections: number;
}
