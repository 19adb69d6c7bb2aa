import type { LoadResult } from './LoadResult';

/**
 * Message from a benchmark to one of its child processes, which sends one {@link Reply} to each.
 *
 * @internal
 */
export type Command =
  | { readonly kind: 'address' }
  | { readonly kind: 'cpu' }
  | { readonly kind: 'announce'; readonly upstream: string }
  | { readonly kind: 'peer'; readonly host: string; readonly peerAddress: string }
  | {
      readonly kind: 'load';
      readonly address: string;
      readonly ratePerSecond: number;
      readonly milliseconds: number;
      readonly seed: number;
    };

/**
 * Reply of a child process to a {@link Command}.
 *
 * @internal
 */
export interface Reply {
  /** "address:port" on which a node accepts calls, or of the upstream. */
  readonly address?: string;
  readonly peerAddress?: string;
  /** CPU time used by the process so far, in milliseconds. */
  readonly cpuMilliseconds?: number;
  readonly load?: LoadResult;
}
