/** Size class of calls whose body length is not known. */
const UNKNOWN_SIZE = 33;

/**
 * @param bodyBytes - Length of the body, in bytes; undefined if it is not known.
 * @returns Class of similar lengths: lengths in one class differ by less than a factor of two.
 * @internal
 */
export function sizeClass(bodyBytes: number | undefined): number {
  return bodyBytes === undefined ? UNKNOWN_SIZE : 32 - Math.clz32(bodyBytes);
}
