import type { AccountId, ServiceId } from '@buckthornslip/common';

import type { PolicyAccount } from './PolicyAccount';
import type { PolicyRoute } from './PolicyRoute';
import type { PolicyService } from './PolicyService';
import type { RequestLimits } from './RequestLimits';

/**
 * Configuration of a sidecar: what the operator has put in force, after validation.
 *
 * @public
 */
export interface CallPolicy {
  /** Grows with each accepted change; steps may be uneven. */
  readonly revision: number;
  readonly routes: readonly PolicyRoute[];
  readonly services: ReadonlyMap<ServiceId, PolicyService>;
  readonly accounts: ReadonlyMap<AccountId, PolicyAccount>;
  /** Account of each key that is accepted. */
  readonly accountOfKey: ReadonlyMap<string, PolicyAccount>;
  readonly requestLimits: RequestLimits;
}
