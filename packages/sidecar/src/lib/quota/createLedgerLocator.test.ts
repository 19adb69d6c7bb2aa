import type { AccountId, HostId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import t from 'tap';

import { createLedgerLocator } from './createLedgerLocator';

const member = (host: string, changed: Partial<Member> = {}): Member =>
  ({ host: host as HostId, incarnation: 1, alive: true, state: 'ready', ...changed }) as Member;

function createView(members: readonly Member[]) {
  const [self, ...peers] = members as [Member, ...Member[]];
  let revision = 1;
  let live: readonly Member[] = peers;
  let reads = 0;
  const locator = createLedgerLocator({
    self: () => self,
    revision: () => revision,
    livePeers: () => {
      reads += 1;
      return live;
    },
  });
  const setPeers = (next: readonly Member[]): void => {
    live = next;
    revision += 1;
  };
  return { locator, setPeers, reads: () => reads };
}

const ACCOUNTS = Array.from({ length: 50 }, (_, index) => `account-${index}` as AccountId);

// Guards against two nodes that locate a ledger at different nodes because their member lists are ordered differently.
void t.test('nodes with the same members agree, and few ledgers move', async (test) => {
  const members = ['a', 'b', 'c', 'd'].map((host) => member(host));
  const one = createView(members);
  const other = createView([...members].reverse());
  const ledgerNodeOf = (view: typeof one) => (account: AccountId) =>
    view.locator.locate(account)?.host;
  const before = ACCOUNTS.map(ledgerNodeOf(one));
  test.same(before, ACCOUNTS.map(ledgerNodeOf(other)));
  one.setPeers(members.slice(1, 3));
  const after = ACCOUNTS.map(ledgerNodeOf(one));
  const moved = after.filter((host, index) => host !== before[index]);
  test.equal(moved.length, before.filter((host) => host === 'd').length);
  test.notOk(after.some((host) => host === 'd'));
});

// Guards against a cost per token request that grows with the number of nodes.
void t.test('the members are read once per change', async (test) => {
  const view = createView([member('a'), member('b'), member('c', { state: 'left' })]);
  ACCOUNTS.forEach((account) => view.locator.locate(account));
  ACCOUNTS.forEach((account) => test.not(view.locator.locate(account)?.host, 'c'));
  test.equal(view.reads(), 1);
  view.setPeers([]);
  test.equal(view.locator.locate(ACCOUNTS[0] as AccountId)?.host, 'a');
  test.equal(view.reads(), 2);
});
