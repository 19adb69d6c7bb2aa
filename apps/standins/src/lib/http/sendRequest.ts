import type { Agent, IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { request as httpRequest } from 'node:http';

import { readAll } from './readAll';

/**
 * A complete response.
 *
 * @public
 */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * A request whose body is in memory.
 *
 * @public
 */
export interface SentRequest {
  /** "address:port". */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: Buffer;
  readonly agent?: Agent | false;
  readonly signal?: AbortSignal;
}

/**
 * Sends a request and reads the complete response.
 *
 * @param sent - The request.
 * @returns The response; rejects if the connection fails or the response is truncated.
 * @public
 */
export function sendRequest(sent: SentRequest): Promise<ReceivedResponse> {
  const { address, method, path, headers, body, agent, signal } = sent;
  const [host, port] = address.split(':');
  const isChunked = headers?.['transfer-encoding'] !== undefined;
  const length = body === undefined || isChunked ? {} : { 'content-length': body.length };
  return new Promise((resolve, reject) => {
    const options = { host, port, method, path, agent, signal };
    const request = httpRequest({ ...options, headers: { ...length, ...headers } });
    request.once('error', reject);
    request.once('response', (response) => {
      const status = response.statusCode ?? 0;
      readAll(response).then(
        (bytes) => resolve({ status, headers: response.headers, body: bytes }),
        reject,
      );
    });
    request.end(body);
  });
}
