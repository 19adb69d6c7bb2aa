import type { AccountId, PartitionId } from '@buckthornslip/common';
import { rankMembers } from '@buckthornslip/leases';
import type { Member } from '@buckthornslip/membership';

import type { MemberDirectory } from '../directory/MemberDirectory';
import { memoizeByRevision } from '../directory/memoizeByRevision';

/**
 * Locates the node that has the ledger of an account.
 *
 * @internal
 */
export interface LedgerLocator {
  readonly locate: (account: AccountId) => Member | undefined;
}

const canHaveLedgers = ({ alive, state }: Member): boolean => alive && state !== 'left';

/**
 * Places ledgers by rendezvous hashing over the live nodes, so that nodes with the same member list agree and few
 * ledgers move when a node joins or leaves.
 *
 * @param directory - Member directory.
 * @returns The locator.
 * @internal
 */
export function createLedgerLocator(
  directory: Pick<MemberDirectory, 'livePeers' | 'revision' | 'self'>,
): LedgerLocator {
  const view = memoizeByRevision(directory.revision, () => ({
    ledgerNodes: [...directory.livePeers(), directory.self()].filter(canHaveLedgers),
    located: new Map<AccountId, Member | undefined>(),
  }));
  return {
    locate: (account) => {
      const { ledgerNodes, located } = view();
      if (!located.has(account)) {
        const [first] = rankMembers(`ledger/${account}` as PartitionId, ledgerNodes);
        located.set(account, first);
      }
      return located.get(account);
    },
  };
}
