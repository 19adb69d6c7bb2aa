import type { AccountId } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';
import type { LedgerGrant } from './LedgerGrant';
import type { LedgerRequest } from './LedgerRequest';

/**
 * Authoritative token buckets of the accounts whose ledger this node keeps.
 *
 * @public
 */
export interface AccountLedger {
  /**
   * Grants tokens in the order of the requests. If there are none, the request waits for a short time. If it would have
   * to wait longer, it is answered at once without tokens.
   */
  readonly grant: (request: LedgerRequest) => Promise<LedgerGrant>;
  /** Takes note that the allowances may have changed, so that a lower one takes effect in time for quiet accounts as well. */
  readonly applyPolicy: () => void;
  /**
   * Forgets the buckets of accounts whose ledger another node keeps now. If it comes back, that node may have granted tokens.
   *
   * @param isKeptHere - Whether this node keeps the ledger of an account.
   */
  readonly forgetMoved: (isKeptHere: (account: AccountId) => boolean) => void;
}

/** Dependencies and settings of a ledger. */
export interface AccountLedgerOptions {
  readonly allowanceOf: (account: AccountId) => AccountAllowance | undefined;
  /** Whether the whole system has just started for the first time, so that no other node can have granted tokens before. */
  readonly isFirstStart: boolean;
  /** @returns Whether another node may have failed since, so that it may have granted tokens of a ledger that has moved here. */
  readonly hasLostNodes: () => boolean;
  /**
   * @returns Share of each account's rate that this node may grant, from 0 to 1. It is below 1 while other nodes may grant tokens
   *   of the same accounts.
   */
  readonly share: () => number;
}
