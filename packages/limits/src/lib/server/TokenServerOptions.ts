import type { AccountId, Clock, RandomSource, RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import type { LeaseManager } from '@buckthornslip/leases';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { AccountGrouping } from '../groups/AccountGrouping';
import type { SplitStore } from '../split/SplitStore';

/**
 * Dependencies and settings of a token server.
 *
 * @public
 */
export interface TokenServerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly leases: Pick<LeaseManager, 'heldLease' | 'heldLeaseChanges'>;
  readonly store: SplitStore;
  readonly grouping: AccountGrouping;
  /** Accounts of the active manifest. */
  readonly accounts: () => ReadonlyMap<AccountId, AccountDefinition>;
  /** Regions of the active manifest. */
  readonly regions: () => readonly RegionId[];
  readonly logger: EventLogger;
  /** Time over which demand is averaged before parts are moved between regions, in milliseconds. */
  readonly demandAverageMilliseconds?: number;
  /** Interval at which a split record is read, in milliseconds. */
  readonly splitReadMilliseconds?: number;
}
