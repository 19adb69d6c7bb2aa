import { createHash } from 'node:crypto';

import type { RequestBody } from './RequestBody';

/** Longest text that is not digested, in characters; a digest costs more than it saves below this. */
const UNHASHED_CHARACTERS = 128;

/**
 * Digests the parts of a request that make it the same request as another.
 *
 * @param parts - Such as account, method and target.
 * @param body - Its bytes count if they are in memory, else its declared length.
 * @returns SHA-256 in Base64; short requests without a body as they are, which no digest can equal.
 * @internal
 */
export function fingerprint(parts: readonly string[], body: RequestBody): string {
  const text = parts.join('\n');
  const isEmpty = body.kind === 'whole' && body.bytes.length === 0;
  // A digest holds no space; the header between nodes takes no line break.
  if (isEmpty && text.length <= UNHASHED_CHARACTERS) return parts.join(' ');
  const hash = createHash('sha256').update(text).update('\n');
  if (body.kind === 'whole') hash.update(body.bytes);
  else hash.update(`length ${body.length ?? 'unknown'}`);
  return hash.digest('base64');
}
