import type { IncomingMessage } from 'node:http';

/**
 * Options of a stub upstream.
 *
 * @public
 */
export interface UpstreamOptions {
  readonly service: string;
  /** "address:port" of the node's outgoing listener. If absent, the upstream isn't announced. */
  readonly node?: string;
  readonly listen?: { readonly address: string; readonly port: number };
  readonly slots?: number;
  readonly connections?: number;
  readonly latencyMilliseconds?: number;
  /** Duration of the cold start, in which calls take three times as long, in milliseconds. */
  readonly coldStartMilliseconds?: number;
  /** Paths of the nested calls that each call makes through the node, one after another. */
  readonly chain?: readonly string[];
  /** Seed of the random choice of calls to shed. */
  readonly seed?: number;
  /** Called with each request, for tests. */
  readonly observe?: (request: IncomingMessage) => void;
  /** Awaited before each answer, for tests that decide when calls end. */
  readonly beforeAnswer?: () => Promise<void>;
  /** Replaces the default crash, which closes the server and its connections. */
  readonly crash?: () => void;
}
