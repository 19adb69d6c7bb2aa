import type { ServerResponse } from 'node:http';

import { whenClosed } from './whenClosed';
import type { UpstreamResponse } from '../serving/AttemptResult';

function hasLength(headers: readonly string[]): boolean {
  return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
}

/**
 * Writes the response of an upstream. If the rest of a long response fails, the connection is closed before the
 * end of the body, so that the response can't appear complete.
 *
 * @param response - The response to write.
 * @param upstreamResponse - The response of the upstream.
 * @param added - Headers to add, as alternating names and values.
 * @returns A promise that resolves when the response has been written or has failed.
 * @internal
 */
export function writeResponse(
  response: ServerResponse,
  upstreamResponse: UpstreamResponse,
  added: readonly string[],
): Promise<void> {
  const { body, headers, rest, status } = upstreamResponse;
  const all = [...headers, ...added];
  if (!rest) {
    if (!hasLength(all) && status !== 204 && status !== 304) {
      all.push('Content-Length', String(body.length));
    }
    response.writeHead(status, all);
    response.end(body);
    return Promise.resolve();
  }
  response.writeHead(status, all);
  response.write(body);
  return new Promise((resolve) => {
    rest.once('error', () => response.destroy());
    response.once('close', () => {
      rest.destroy();
      resolve();
    });
    rest.pipe(response);
    whenClosed(rest, () => {
      if (!rest.readableEnded) response.destroy();
      resolve();
    });
  });
}
