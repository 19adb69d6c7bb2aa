import { createHash } from 'node:crypto';
import type { ServerResponse } from 'node:http';

import { patternChunks, patternDigest } from '../http/patternBytes';

/** Header with the digest of the body, which lets callers detect truncated or damaged bodies. */
const DIGEST_HEADER = 'x-body-digest';

function writeJson(response: ServerResponse, result: unknown, truncate: boolean): void {
  const body = Buffer.from(JSON.stringify(result));
  const digest = createHash('sha256').update(body).digest('hex');
  const headers = { 'content-type': 'application/json', 'content-length': body.length };
  response.writeHead(200, { ...headers, [DIGEST_HEADER]: digest });
  if (truncate) response.write(body.subarray(0, body.length / 2), () => response.destroy());
  else response.end(body);
}

/** Waits until the response accepts more data or is closed. */
function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      response.off('drain', finish).off('close', finish);
      resolve();
    };
    response.on('drain', finish).on('close', finish);
  });
}

async function writePattern(
  response: ServerResponse,
  length: number,
  truncate: boolean,
): Promise<void> {
  response.writeHead(200, { [DIGEST_HEADER]: patternDigest(length) });
  let left = truncate ? Math.floor(length / 2) : length;
  for (const chunk of patternChunks(length)) {
    if (left <= 0 || response.destroyed) break;
    left -= chunk.length;
    if (!response.write(chunk)) {
      await waitForDrain(response);
    }
  }
  if (truncate) response.destroy();
  else response.end();
}

/**
 * Writes the result of a call as JSON, or a body with predictable content if a length was requested.
 *
 * @param response - Response to write to.
 * @param result - Result of the call.
 * @param bytes - Requested length of the body, in bytes; zero for the result as JSON.
 * @param truncate - Whether to close the connection after half of the body.
 * @internal
 */
export async function writeResult(
  response: ServerResponse,
  result: unknown,
  bytes: number,
  truncate: boolean,
): Promise<void> {
  if (bytes > 0) await writePattern(response, bytes, truncate);
  else writeJson(response, result, truncate);
}
