import type { AccountId, PartitionId, RegionId } from '@buckthornslip/common';

import type { GrantReport } from './GrantReport';

/**
 * Request of an entry node for tokens of one account.
 *
 * @public
 */
export interface GrantRequest {
  readonly partition: PartitionId;
  readonly account: AccountId;
  /** Region of the entry node. */
  readonly region: RegionId;
  /** Number of tokens for calls that wait now. */
  readonly needed: number;
  /** Number of tokens to prefetch in addition to `needed`. */
  readonly ahead: number;
  /** Number of calls that have asked for a token since the last request. */
  readonly demand: number;
  readonly reports: readonly GrantReport[];
}
