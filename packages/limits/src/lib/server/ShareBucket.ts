import type { GrantReport } from '../messages/GrantReport';

/**
 * Token bucket of one account at its share holder. Tokens in the bucket and tokens outstanding at
 * entry nodes together never exceed its capacity.
 *
 * @internal
 */
export interface ShareBucket {
  /** Sets rate and capacity. Tokens above the new capacity are dropped, none are added. */
  readonly resize: (tokensPerSecond: number, capacity: number) => void;
  readonly applyReport: (report: Pick<GrantReport, 'sequence' | 'spent' | 'closed'>) => void;
  /**
   * @param needed - Tokens for calls that wait.
   * @param ahead - Further tokens; at most half of what is left is granted ahead.
   * @param lifeMilliseconds - Life of the grant from now.
   * @returns The grant; zero tokens if there are none.
   */
  readonly grant: (
    needed: number,
    ahead: number,
    lifeMilliseconds: number,
  ) => { readonly sequence: number; readonly tokens: number };
  /** @returns Time until a token can be expected, in milliseconds. */
  readonly retryAfterMilliseconds: () => number;
  /** @returns Whether the tokens outstanding fit into a capacity. */
  readonly fits: (capacity: number) => boolean;
}
