import type { AccountId, PartitionId } from '@buckthornslip/common';
import { rankMembers } from '@buckthornslip/leases';
import type { Member } from '@buckthornslip/membership';

/**
 * Finds the node that keeps the ledger of an account.
 *
 * @internal
 */
export interface LedgerLocator {
  readonly locate: (account: AccountId) => Member | undefined;
}

/**
 * Places ledgers by rendezvous hashing over the nodes that run, so that nodes with the same view agree and few ledgers
 * move when a node comes or goes.
 *
 * @param candidates - All nodes that may keep a ledger.
 * @returns The locator.
 * @internal
 */
export function createLedgerLocator(candidates: () => readonly Member[]): LedgerLocator {
  const located = new Map<AccountId, Member | undefined>();
  let view = '';
  return {
    locate: (account) => {
      const members = candidates();
      const current = members.map(({ host, incarnation }) => `${host}/${incarnation}`).join();
      if (current !== view) {
        located.clear();
        view = current;
      }
      if (!located.has(account)) {
        const [first] = rankMembers(`ledger/${account}` as PartitionId, members);
        located.set(account, first);
      }
      return located.get(account);
    },
  };
}
