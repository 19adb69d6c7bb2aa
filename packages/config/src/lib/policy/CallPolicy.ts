import type { AccountId, ServiceId } from '@buckthornslip/common';

import type { PolicyAccount } from './PolicyAccount';
import type { PolicyRoute } from './PolicyRoute';
import type { PolicyService } from './PolicyService';
import type { RequestLimits } from './RequestLimits';

/**
 * Validated configuration of a sidecar, as published by the operator.
 *
 * @public
 */
export interface CallPolicy {
  /** Increases with each accepted change, not necessarily by 1. */
  readonly revision: number;
  readonly routes: readonly PolicyRoute[];
  readonly services: ReadonlyMap<ServiceId, PolicyService>;
  readonly accounts: ReadonlyMap<AccountId, PolicyAccount>;
  /** Account of each accepted key. */
  readonly accountOfKey: ReadonlyMap<string, PolicyAccount>;
  readonly requestLimits: RequestLimits;
}
