import type { ZoneId } from '@buckthornslip/common';

import type { LeaseNode } from './LeaseNode';

/**
 * A live and ready node that may hold a partition.
 *
 * @public
 */
export interface LeaseMember extends LeaseNode {
  readonly zone: ZoneId;
}
