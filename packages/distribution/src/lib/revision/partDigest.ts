import { createHash } from 'node:crypto';

/**
 * @param content - Uncompressed content of a part.
 * @returns SHA-256 of the content, in lower-case hexadecimal.
 * @internal
 */
export function partDigest(content: Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}
