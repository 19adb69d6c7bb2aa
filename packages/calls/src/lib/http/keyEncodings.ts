/** Minimum length of a key that is searched for, in characters. Shorter strings occur by chance. */
const MINIMUM_KEY_LENGTH = 8;

/**
 * Computes the encodings in which an API key could appear in a header or a target.
 *
 * @param key - The API key.
 * @returns The key in plain text, percent-encoded and in Base64.
 * @internal
 */
export function keyEncodings(key: string): readonly string[] {
  if (key.length < MINIMUM_KEY_LENGTH) return [];
  const bytes = Buffer.from(key);
  const encodings = [key, encodeURIComponent(key)];
  // A prefix such as "user:" shifts the alignment of the Base64 text, which therefore has three possible encodings.
  for (const shift of [0, 1, 2]) {
    const shifted = Buffer.concat([Buffer.alloc(shift), bytes]);
    const start = shift === 0 ? 0 : 4;
    const end = Math.floor(shifted.length / 3) * 4;
    encodings.push(shifted.toString('base64').slice(start, end));
    encodings.push(shifted.toString('base64url').slice(start, end));
  }
  return [...new Set(encodings)];
}
