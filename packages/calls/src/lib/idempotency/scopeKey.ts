import type { AccountId } from '@buckthornslip/common';

/** Separates account and key. Header values cannot contain it. */
const SEPARATOR = '\n';

/**
 * Joins an account and its idempotency key, so that the keys of different accounts cannot collide.
 *
 * @param account - The client account, or undefined on an open route.
 * @param idempotencyKey - Value of the caller's Idempotency-Key header.
 * @returns One string.
 * @public
 */
export function scopeKey(account: AccountId | undefined, idempotencyKey: string): string {
  return `${account ?? ''}${SEPARATOR}${idempotencyKey}`;
}
