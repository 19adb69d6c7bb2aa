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
  /** @returns Whether the response belongs to this request. */
  readonly isExpectedResponse: (response: IncomingMessage) => boolean;
}
