/** Shorter keys are not searched for, since short strings occur by chance. */
const MINIMUM_KEY_LENGTH = 8;

/**
 * Spellings in which a key may hide in a header or a target.
 *
 * @param key - The key.
 * @returns The key as it is, percent-encoded and in Base64.
 * @internal
 */
export function keyEncodings(key: string): readonly string[] {
  if (key.length < MINIMUM_KEY_LENGTH) return [];
  const bytes = Buffer.from(key);
  const encodings = [key, encodeURIComponent(key)];
  // A prefix such as "user:" shifts the Base64 text, which therefore has three possible encodings.
  for (const shift of [0, 1, 2]) {
    const shifted = Buffer.concat([Buffer.alloc(shift), bytes]);
    const start = shift === 0 ? 0 : 4;
    const end = Math.floor(shifted.length / 3) * 4;
    encodings.push(shifted.toString('base64').slice(start, end));
    encodings.push(shifted.toString('base64url').slice(start, end));
  }
  return [...new Set(encodings)];
}
