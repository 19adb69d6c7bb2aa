import type { IncomingMessage } from 'node:http';

import type { RequestBody } from './RequestBody';

/** Longest body that is kept in memory, in bytes. The bodies of both deployments' calls are below 32 KiB. */
const BUFFERED_BODY_BYTES = 65_536;

const EMPTY_BODY: RequestBody = { kind: 'whole', bytes: Buffer.alloc(0) };

function declaredLength(request: IncomingMessage): number | undefined {
  const text = request.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/**
 * Reads the body of a request up to a limit; a longer body is handed on as a stream.
 *
 * @param request - The request.
 * @returns The body; undefined if the caller went away before its end.
 * @internal
 */
export function readRequestBody(request: IncomingMessage): Promise<RequestBody | undefined> {
  const length = declaredLength(request);
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (!isChunked && (length === undefined || length === 0)) return Promise.resolve(EMPTY_BODY);
  if (length !== undefined && length > BUFFERED_BODY_BYTES) {
    return Promise.resolve({ kind: 'stream', stream: request, length, head: Buffer.alloc(0) });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= BUFFERED_BODY_BYTES) return;
      request.pause();
      request.off('data', onData);
      resolve({ kind: 'stream', stream: request, length, head: Buffer.concat(chunks) });
    };
    request.on('data', onData);
    request.once('end', () => resolve({ kind: 'whole', bytes: Buffer.concat(chunks) }));
    request.once('close', () => resolve(undefined));
  });
}
