import type { IncomingMessage } from 'node:http';

/** Headers that may occur once: a second one would let two servers read the request differently. */
const SINGLE_VALUED_HEADERS = new Set([
  'host',
  'content-length',
  'transfer-encoding',
  'authorization',
  'proxy-authorization',
  'idempotency-key',
  'buckthornslip-timeout',
  'buckthornslip-context',
]);

function hasDuplicates(rawHeaders: readonly string[]): boolean {
  const seen = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase();
    if (SINGLE_VALUED_HEADERS.has(name)) {
      if (seen.has(name)) return true;
      seen.add(name);
    }
  }
  return false;
}

/**
 * Checks what the parser of Node.js lets through.
 *
 * @param request - The request.
 * @returns Whether the head has only one reading.
 * @internal
 */
export function checkRequestHead(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  const coding = request.headers['transfer-encoding'];
  if (length !== undefined && (coding !== undefined || !/^\d{1,15}$/.test(length))) return false;
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') return false;
  return !hasDuplicates(request.rawHeaders);
}
