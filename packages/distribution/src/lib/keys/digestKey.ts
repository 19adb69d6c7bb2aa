import { createHash } from 'node:crypto';

/**
 * @param key - A client account's key, as sent by the caller.
 * @returns The digest that identifies the key on nodes: SHA-256 in lower-case hexadecimal.
 * @public
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}
