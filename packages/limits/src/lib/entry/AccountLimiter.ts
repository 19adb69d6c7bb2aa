import type { AccountId, Result } from '@buckthornslip/common';

import type { LimitRefusal } from './LimitRefusal';

/**
 * Rate limiter of an entry node for client accounts.
 *
 * @public
 */
export interface AccountLimiter {
  /**
   * Spends one token of the account. Requests tokens from the token server first if none is left.
   *
   * @param account - The client account.
   * @param signal - Aborts the wait, for example when the caller disconnects.
   * @returns Success, or the reason why the call is refused.
   */
  readonly spend: (account: AccountId, signal?: AbortSignal) => Promise<Result<void, LimitRefusal>>;
}
