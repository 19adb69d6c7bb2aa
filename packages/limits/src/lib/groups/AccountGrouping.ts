import type { AccountId } from '@buckthornslip/common';

/**
 * Assigns accounts to groups by a hash of their id.
 *
 * @public
 */
export interface AccountGrouping {
  /** @returns Zero-based group number of the account. */
  readonly groupOf: (account: AccountId) => number;
  /** @returns One of the choices, the same on all nodes. */
  readonly choose: <Choice>(account: AccountId, choices: readonly Choice[]) => Choice | undefined;
}
