import type { IncomingMessage } from 'node:http';

/** Headers that must not be repeated, since servers could interpret a request with duplicates differently. */
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
 * Applies checks that the HTTP parser of Node.js does not make.
 *
 * @param request - The request.
 * @returns Whether the head is unambiguous.
 * @internal
 */
export function checkRequestHead(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  const coding = request.headers['transfer-encoding'];
  if (length !== undefined && (coding !== undefined || !/^\d{1,15}$/.test(length))) return false;
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') return false;
  return !hasDuplicates(request.rawHeaders);
}
