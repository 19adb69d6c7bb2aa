import type { AccountId, Clock, RandomSource, RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import type { LeaseManager } from '@buckthornslip/leases';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { AccountGrouping } from '../groups/AccountGrouping';
import type { SplitStore } from '../split/SplitStore';

/**
 * What a share holder needs.
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
  /** Accounts of the manifest in force. */
  readonly accounts: () => ReadonlyMap<AccountId, AccountDefinition>;
  /** Regions of the manifest in force. */
  readonly regions: () => readonly RegionId[];
  readonly logger: EventLogger;
  /** Time over which demand is averaged before parts move, in milliseconds. */
  readonly demandAverageMilliseconds?: number;
  /** Time between two reads of a split record, in milliseconds. */
  readonly splitReadMilliseconds?: number;
}
