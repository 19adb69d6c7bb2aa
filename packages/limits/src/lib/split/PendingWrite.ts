import type { AccountId } from '@buckthornslip/common';

import type { SplitMove } from './planMoves';
import type { SplitRecord } from './SplitRecord';

/**
 * A write of the split record whose result is unknown, so that it may still take effect.
 *
 * @internal
 */
export interface PendingWrite {
  readonly expectedRevision: number;
  readonly record: SplitRecord;
  /** Accounts that the write adds. */
  readonly created: ReadonlySet<AccountId>;
  /** Parts that the write moves to other regions. */
  readonly moves: ReadonlyMap<AccountId, SplitMove>;
}
