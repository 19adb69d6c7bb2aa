import { createHash } from 'node:crypto';

/** What is compared of a body. */
type ComparedBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly length: number | undefined };

/** Maximum length of text that is not hashed, in characters. Below it, a digest costs more than it saves. */
const UNHASHED_CHARACTERS = 128;

/**
 * Computes a fingerprint that is equal for equal requests.
 *
 * @param parts - Parts to compare, such as account, method and target.
 * @param body - Body of the request. Its bytes are compared if they are in memory, otherwise its declared length.
 * @returns SHA-256 in Base64, or the plain parts of a short request without a body, which cannot equal a digest.
 * @public
 */
export function fingerprint(parts: readonly string[], body: ComparedBody): string {
  const text = parts.join('\n');
  const isEmpty = body.kind === 'whole' && body.bytes.length === 0;
  // Joined by spaces: a digest contains none, and a header value cannot contain line breaks.
  if (isEmpty && text.length <= UNHASHED_CHARACTERS) return parts.join(' ');
  const hash = createHash('sha256').update(text).update('\n');
  if (body.kind === 'whole') hash.update(body.bytes);
  else hash.update(`length ${body.length ?? 'unknown'}`);
  return hash.digest('base64');
}
