import type { GrantReport } from '../messages/GrantReport';

/**
 * Token bucket of one account at a token server. The tokens in the bucket and those outstanding at
 * entry nodes together never exceed its capacity.
 *
 * @internal
 */
export interface ShareBucket {
  /** Sets rate and capacity. Tokens above the new capacity are dropped; none are added. */
  readonly resize: (tokensPerSecond: number, capacity: number) => void;
  readonly applyReport: (report: Pick<GrantReport, 'sequence' | 'spent' | 'closed'>) => void;
  /**
   * Grants tokens to an entry node.
   *
   * @param needed - Number of tokens for calls that wait.
   * @param ahead - Number of tokens to prefetch. At most half of the remaining tokens is granted for it.
   * @param lifeMilliseconds - Lifetime of the grant from now.
   * @returns The grant, with zero tokens if there are none.
   */
  readonly grant: (
    needed: number,
    ahead: number,
    lifeMilliseconds: number,
  ) => { readonly sequence: number; readonly tokens: number };
  /** @returns Expected time until a token is available, in milliseconds. */
  readonly retryAfterMilliseconds: () => number;
  /** @returns Whether the outstanding tokens are known to fit into a capacity. */
  readonly fits: (capacity: number) => boolean;
}
