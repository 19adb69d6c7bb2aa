import type { AccountId, Clock } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { LedgerPeers } from './LedgerPeers';

/** Dependencies of a ledger rate limiter. */
export interface LedgerRateLimiterOptions {
  readonly clock: Clock;
  readonly ledgers: LedgerPeers;
  readonly allowanceOf: (account: AccountId) => AccountAllowance | undefined;
  /** @returns Number of entry nodes, including this one. */
  readonly nodeCount: () => number;
}
