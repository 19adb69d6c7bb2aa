import type { AccountId, Clock, RandomSource, RegionId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import type { LeaseManager } from '@buckthornslip/leases';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { AccountGrouping } from '../groups/AccountGrouping';
import type { LimitPeers } from '../messages/LimitPeers';

/**
 * Dependencies and settings of an account limiter.
 *
 * @public
 */
export interface AccountLimiterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly leases: Pick<LeaseManager, 'locate' | 'forgetLocation'>;
  readonly peers: LimitPeers;
  readonly grouping: AccountGrouping;
  /** Accounts of the active manifest. */
  readonly accounts: () => ReadonlyMap<AccountId, AccountDefinition>;
  /** Regions of the active manifest. */
  readonly regions: () => readonly RegionId[];
  readonly logger: EventLogger;
  /** Maximum time that a call waits for a token, in milliseconds. */
  readonly waitMilliseconds?: number;
}
