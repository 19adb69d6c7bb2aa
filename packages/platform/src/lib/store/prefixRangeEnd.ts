/**
 * Computes the exclusive end of the key range of a prefix for the etcd protocol.
 *
 * @param prefix - Non-empty prefix of ASCII characters.
 * @returns The smallest key that is greater than all keys with the prefix.
 * @internal
 */
export function prefixRangeEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}
