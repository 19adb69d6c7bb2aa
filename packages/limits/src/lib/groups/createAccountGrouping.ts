import xxhash from 'xxhash-wasm';

import type { AccountGrouping } from './AccountGrouping';
import { GROUPS_PER_REGION } from './GROUPS_PER_REGION';

/** Hash seed that makes choices independent of the group. */
const CHOICE_SEED = 1;

/**
 * Creates a grouping by xxHash of the account id.
 *
 * @returns The grouping.
 * @public
 */
export async function createAccountGrouping(): Promise<AccountGrouping> {
  const { h32 } = await xxhash();
  return {
    groupOf: (account) => h32(account) % GROUPS_PER_REGION,
    choose: (account, choices) => choices[h32(account, CHOICE_SEED) % choices.length],
  };
}
