import { createHash } from 'node:crypto';

/**
 * @param key - An API key.
 * @returns Its SHA-256 digest, in lower-case hexadecimal.
 * @internal
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
