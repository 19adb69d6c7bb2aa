import type { ServerResponse } from 'node:http';

import type { UpstreamResponse } from '../serving/AttemptResult';

function hasLength(headers: readonly string[]): boolean {
  return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length');
}

/**
 * Writes the answer of an upstream. When the rest of a long answer breaks off, the connection is reset, so that the
 * answer cannot look complete.
 *
 * @param response - Where to write.
 * @param answer - The answer.
 * @param added - Headers to add, names and values in turn.
 * @returns Resolves when the answer has been handed over, or cut off.
 * @internal
 */
export function writeResponse(
  response: ServerResponse,
  answer: UpstreamResponse,
  added: readonly string[],
): Promise<void> {
  const { body, headers, rest, status } = answer;
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
    rest.once('close', () => {
      if (!rest.readableEnded) response.destroy();
      resolve();
    });
    rest.once('error', () => response.destroy());
    response.once('close', () => {
      rest.destroy();
      resolve();
    });
    rest.pipe(response);
  });
}
