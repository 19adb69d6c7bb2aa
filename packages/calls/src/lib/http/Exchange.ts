import type { IncomingMessage } from 'node:http';

import type { CallScope } from './CallScope';
import type { ConnectionPool } from './ConnectionPool';
import type { RequestBody } from './RequestBody';

/**
 * One HTTP request to send over a connection pool.
 *
 * @internal
 */
export interface Exchange {
  readonly pool: ConnectionPool;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values, without framing headers. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly scope: CallScope;
  /** Idle timeout until the head of the response, in milliseconds. */
  readonly idleTimeoutMilliseconds: number;
  /** Called when a connection has been assigned, before the first byte is sent; false cancels the exchange. */
  readonly mayStart?: () => boolean;
  /**
   * @returns Whether the connection must not be used again. A faulty server may repeat a refusal, which would then be taken
   *   for the refusal of the next request.
   */
  readonly retiresConnection?: (response: IncomingMessage) => boolean;
  /** Called when the connection is ready and the first byte is about to be sent. */
  readonly onStart?: () => void;
}
