import type { Clock } from '@buckthornslip/common';

import type { StoreCallCounts } from '../memory/StoreCallCounts';
import type { StoreEngine } from '../memory/StoreEngine';
import type { StoreFaults } from '../memory/StoreFaults';

/**
 * State that the handlers of the store server share.
 *
 * @internal
 */
export interface StoreServerContext {
  readonly clock: Clock;
  readonly engine: StoreEngine;
  readonly faults: StoreFaults;
  readonly calls: StoreCallCounts;
}
