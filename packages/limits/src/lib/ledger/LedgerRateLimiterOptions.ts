import type { AccountId, Clock } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { LedgerPeers } from './LedgerPeers';

/** What a gate works with. */
export interface LedgerRateLimiterOptions {
  readonly clock: Clock;
  readonly ledgers: LedgerPeers;
  readonly allowanceOf: (account: AccountId) => AccountAllowance | undefined;
  /** @returns Number of entry nodes, this one included. */
  readonly nodeCount: () => number;
}
