import { keyEncodings } from '../http/keyEncodings';

/** Keys kept; the cache starts anew above this. */
const MAXIMUM_CACHED_KEYS = 1_024;

/**
 * Keeps the spellings of keys, which would otherwise be computed for each request.
 *
 * @returns Gives the spellings of a key, which is looked up by its digest.
 * @internal
 */
export function createKeyEncodingsCache(): (digest: string, key: string) => readonly string[] {
  const cache = new Map<string, readonly string[]>();
  return (digest, key) => {
    const known = cache.get(digest);
    if (known !== undefined) return known;
    if (cache.size >= MAXIMUM_CACHED_KEYS) cache.clear();
    const encodings = keyEncodings(key);
    cache.set(digest, encodings);
    return encodings;
  };
}
