import type { CallPolicy, PolicyAccount, PolicyRoute } from '@buckthornslip/config';
import { priorityRank } from '@buckthornslip/common';

/** Number of priority ranks that admission and routing distinguish. */
const RANK_COUNT = Object.keys(priorityRank).length;

/**
 * Maps the policy's ranks of accounts and routes to priority ranks.
 *
 * @internal
 */
export interface PriorityRanks {
  /**
   * @param account - Account of the call; undefined on open routes.
   * @param route - Route of the call.
   * @returns Priority rank; 0 is the most urgent.
   */
  readonly rankOf: (account: PolicyAccount | undefined, route: PolicyRoute) => number;
}

/** Orders by the account's rank first, then by the route's. */
const byRanks = (left: readonly [number, number], right: readonly [number, number]): number =>
  left[0] - right[0] || left[1] - right[1];

/**
 * Creates the priority ranks of a policy. The pairs of account and route ranks are sorted and distributed evenly over
 * the priority ranks.
 *
 * @param policy - The policy.
 * @returns The mapping.
 * @internal
 */
export function createPriorityRanks(policy: CallPolicy): PriorityRanks {
  const accountRanks = [...new Set([...policy.accounts.values()].map(({ rank }) => rank))];
  const keyed = policy.routes.filter(({ access }) => access === 'keyed');
  const routeRanks = [...new Set(keyed.map(({ rank }) => rank))];
  const pairs = accountRanks
    .flatMap((account) => routeRanks.map((route) => [account, route] as const))
    .sort(byRanks);
  const ranks = new Map(
    pairs.map(([account, route], index) => [
      `${account}/${route}`,
      Math.floor((index * RANK_COUNT) / Math.max(RANK_COUNT, pairs.length)),
    ]),
  );
  return {
    rankOf: (account, route) =>
      (account && ranks.get(`${account.rank}/${route.rank}`)) ?? RANK_COUNT - 1,
  };
}
