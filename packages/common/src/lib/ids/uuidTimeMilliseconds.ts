import { validate, version } from 'uuid';

/** Length of the timestamp of a UUIDv7, in hexadecimal digits. */
const TIME_DIGITS = 12;

const HEXADECIMAL_RADIX = 16;

/**
 * Extracts the creation time from a UUIDv7 (RFC 9562).
 *
 * @param text - Any string.
 * @returns Milliseconds since the Unix epoch, or undefined if the string is not a UUIDv7.
 * @public
 */
export function uuidTimeMilliseconds(text: string): number | undefined {
  if (!validate(text) || version(text) !== 7) return undefined;
  return parseInt(text.replaceAll('-', '').slice(0, TIME_DIGITS), HEXADECIMAL_RADIX);
}
