import type { AccountId } from '@buckthornslip/common';

/**
 * A client account with its rate limit and permissions.
 *
 * @public
 */
export interface AccountDefinition {
  readonly id: AccountId;
  /** Maximum requests per second, over the whole fleet. */
  readonly ratePerSecond: number;
  /** Maximum burst of requests, over the whole fleet. */
  readonly burst: number;
  /** Names of the routes that the account may call; empty for all. */
  readonly routes: readonly string[];
  /** Whether keyed calls are served or refused on a node that cannot rule out that the key has been withdrawn. */
  readonly whenIsolated: 'refuse' | 'serve';
}
