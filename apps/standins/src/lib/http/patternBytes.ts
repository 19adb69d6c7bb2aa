import { createHash } from 'node:crypto';

/** Length of the repeated pattern, in bytes. A prime, so that a shifted body has a different digest. */
const PATTERN_BYTES = 16_381;

const pattern = Buffer.from(
  Array.from({ length: PATTERN_BYTES }, (_, index) => (index * 31 + Math.floor(index / 256)) % 256),
);

/**
 * Yields a body of a given length with predictable content.
 *
 * @param length - Length, in bytes.
 * @returns Chunks of the body.
 * @internal
 */
export function* patternChunks(length: number): Generator<Buffer> {
  for (let sent = 0; sent < length; sent += PATTERN_BYTES) {
    yield pattern.subarray(0, Math.min(PATTERN_BYTES, length - sent));
  }
}

/**
 * @param length - Length of the body, in bytes.
 * @returns SHA-256 of the body, in hexadecimal.
 * @internal
 */
export function patternDigest(length: number): string {
  const hash = createHash('sha256');
  for (const chunk of patternChunks(length)) hash.update(chunk);
  return hash.digest('hex');
}
