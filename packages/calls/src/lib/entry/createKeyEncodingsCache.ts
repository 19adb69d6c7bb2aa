import { keyEncodings } from '../http/keyEncodings';

/** Maximum number of cached keys; the cache is cleared when it is exceeded. */
const MAXIMUM_CACHED_KEYS = 1_024;

/**
 * Caches the encodings of API keys, which would otherwise be computed for each request.
 *
 * @returns A function that returns the encodings of a key, cached by the digest of the key.
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
