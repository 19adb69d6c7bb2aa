/**
 * Retention of a used idempotency key, in milliseconds.
 *
 * @public
 */
export const KEY_RETENTION_MILLISECONDS = 24 * 3_600_000;
