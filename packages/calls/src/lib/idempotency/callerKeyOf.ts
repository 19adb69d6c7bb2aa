/**
 * @param scopedKey - Account and key as joined by `scopeKey`.
 * @returns The idempotency key that the caller sent.
 * @internal
 */
export function callerKeyOf(scopedKey: string): string {
  return scopedKey.slice(scopedKey.indexOf('\n') + 1);
}
