import type { IncomingHttpHeaders } from 'node:http';

/**
 * A complete upstream response, stored for repeats of its attempt.
 *
 * @public
 */
export interface StoredResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}
