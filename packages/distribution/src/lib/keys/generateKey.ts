import { randomBytes } from 'node:crypto';

/** 256 random bits cannot be guessed, so it is safe to store an unsalted digest. */
const KEY_BYTES = 32;

/**
 * @returns A new client account key, safe for use in an HTTP header.
 * @internal
 */
export function generateKey(): string {
  return randomBytes(KEY_BYTES).toString('base64url');
}
