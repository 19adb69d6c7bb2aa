import type { RegionId } from '@buckthornslip/common';
import type { PolicyRoute } from '@buckthornslip/config';

import type { CallAttempt } from '../serving/CallAttempt';

/**
 * An admitted request that is forwarded to a service.
 *
 * @internal
 */
export interface EntryCall {
  readonly route: PolicyRoute;
  /** The call as it is sent to a serving node. */
  readonly call: CallAttempt;
  /** Nested calls of the same parent that have already completed; 0 for a call without a parent. */
  readonly finishedSiblings: number;
  /** @returns Regions in which the next attempt may be made; undefined for all. */
  readonly allowedRegions: () => ReadonlySet<RegionId> | undefined;
}
