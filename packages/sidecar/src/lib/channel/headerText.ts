const SEPARATOR = '\n';

/**
 * @param headers - Alternating names and values, none of which can contain a line feed.
 * @returns One string, which is cheaper to encode than a list.
 * @internal
 */
export function joinHeaders(headers: readonly string[]): string {
  return headers.join(SEPARATOR);
}

/**
 * @param text - Joined headers.
 * @returns Alternating names and values.
 * @internal
 */
export function splitHeaders(text: string): string[] {
  return text === '' ? [] : text.split(SEPARATOR);
}
