import type { AccountId, RegionId } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import t from 'tap';

import { regionsInForce } from './regionsInForce';
import { regionsOfAttempt } from './regionsOfAttempt';

const ACCOUNT = 'family' as AccountId;

type Regions = readonly string[] | undefined;

function policyOf(ofRoute: Regions, ofAccount: Regions): CallPolicy {
  const setOf = (names: Regions) => names && new Set(names as readonly RegionId[]);
  const account = { id: ACCOUNT, allowedRegions: setOf(ofAccount) };
  return {
    routes: [{ name: 'read', allowedRegions: setOf(ofRoute) }],
    accounts: new Map([[ACCOUNT, account]]),
  } as unknown as CallPolicy;
}

const listOf = (regions: ReadonlySet<RegionId> | undefined) => regions && [...regions];

// Guards against applying only one of two restrictions, and against a region that is allowed because the other one names none.
void t.test('both restrictions apply', async (test) => {
  const cases: readonly (readonly [Regions, Regions, Regions])[] = [
    [undefined, undefined, undefined],
    [['a'], undefined, ['a']],
    [undefined, ['b'], ['b']],
    [['a', 'b'], ['b', 'c'], ['b']],
    [['a'], ['b'], []],
    [[], undefined, []],
    [['a'], [], []],
  ];
  cases.forEach(([ofRoute, ofAccount, expected]) => {
    const policy = policyOf(ofRoute, ofAccount);
    const attempt = { route: 'read', account: ACCOUNT };
    test.same(listOf(regionsOfAttempt(policy, attempt)), expected);
    const nested = { route: 'read', account: undefined };
    test.same(listOf(regionsOfAttempt(policy, nested)), ofRoute, 'an open route has no account');
  });
});

// Guards against a retry that goes where a newer policy does not allow it, and against losing a restriction with its route.
void t.test('an accepted request follows the policy in force', async (test) => {
  const policy = policyOf(['a', 'b'], ['a', 'b', 'c']);
  const [route] = policy.routes;
  const accepted = {
    policy,
    entry: { route, nextService: () => 'x' },
    account: policy.accounts.get(ACCOUNT),
  } as unknown as Parameters<typeof regionsInForce>[1];
  test.same(listOf(regionsInForce(policy, accepted)), ['a', 'b']);
  test.same(listOf(regionsInForce(policyOf(['c', 'b'], ['c']), accepted)), ['c']);
  const empty = { routes: [], accounts: new Map() } as unknown as CallPolicy;
  test.same(listOf(regionsInForce(empty, accepted)), ['a', 'b']);
});
