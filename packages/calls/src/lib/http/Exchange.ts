import type { CallScope } from './CallScope';
import type { ConnectionPool } from './ConnectionPool';
import type { RequestBody } from './RequestBody';

/**
 * One request over a pool.
 *
 * @internal
 */
export interface Exchange {
  readonly pool: ConnectionPool;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn, without framing headers. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly scope: CallScope;
  /** Longest time without progress before the head of the response, in milliseconds. */
  readonly idleTimeoutMilliseconds: number;
  /** Asked when a connection is at hand, before the first byte; false cancels the exchange. */
  readonly mayStart?: () => boolean;
  /** Called when a connection is at hand and the first byte is about to be sent. */
  readonly onStart?: () => void;
}
