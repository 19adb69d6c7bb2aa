const SEPARATOR = '\n';

/**
 * @param headers - Names and values in turn; neither can hold a line feed.
 * @returns One text, which is cheaper to encode than many.
 * @internal
 */
export function joinHeaders(headers: readonly string[]): string {
  return headers.join(SEPARATOR);
}

/**
 * @param text - Joined headers.
 * @returns Names and values in turn.
 * @internal
 */
export function splitHeaders(text: string): string[] {
  return text === '' ? [] : text.split(SEPARATOR);
}
