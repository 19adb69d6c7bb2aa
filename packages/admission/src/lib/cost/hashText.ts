/** Hash of no text. */
export const HASH_START = 7;

const CHARACTER_FACTOR = 31;

/** Odd constant close to the golden ratio of 32 bits, which spreads similar texts. */
const MIXING_FACTOR = 0x9e3779b1;

/**
 * Hash of a text, continued from an earlier hash. It allocates nothing.
 *
 * @param hash - The earlier hash; {@link HASH_START} for the first text.
 * @param text - The text.
 * @returns A signed 32-bit integer.
 * @internal
 */
export function hashText(hash: number, text: string): number {
  let next = hash;
  for (let index = 0; index < text.length; index += 1) {
    next = Math.imul(next, CHARACTER_FACTOR) + text.charCodeAt(index);
  }
  // The length separates texts that are hashed one after the other.
  return Math.imul(next + text.length, MIXING_FACTOR);
}
