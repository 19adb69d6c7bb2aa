import type { IncomingMessage } from 'node:http';

import type { CallScope } from '@buckthornslip/calls';

import type { ConnectionPool } from './ConnectionPool';
import type { RequestBody } from './RequestBody';

/**
 * One request to a peer or an upstream.
 *
 * @internal
 */
export interface ExchangeRequest {
  readonly pool: ConnectionPool;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values, without framing headers. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  readonly scope: CallScope;
  /** Longest first part of a response, in bytes; shorter responses are buffered until they are complete. By default, no limit. */
  readonly headBytes?: number;
  /**
   * @returns Whether the request may be sent now. Asked when it gets an open connection, for which it may have waited.
   */
  readonly maySend?: () => boolean;
  /** @returns Whether the response belongs to this request. */
  readonly isExpectedResponse: (response: IncomingMessage) => boolean;
  /**
   * @returns Whether the connection must not be used again. A faulty upstream may repeat a refusal, and the id doesn't tell it
   *   from the answer if the same request is sent once more.
   */
  readonly retiresConnection?: (response: IncomingMessage) => boolean;
}
