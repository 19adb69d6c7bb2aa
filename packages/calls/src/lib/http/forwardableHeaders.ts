import { SYSTEM_HEADER_PREFIX } from '@buckthornslip/wire';

/** Hop-by-hop headers (RFC 9110, section 7.6.1), credentials, and framing headers, which each hop sets itself. */
const REMOVED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
  'authorization',
]);

const NO_NAMES: ReadonlySet<string> = new Set();

function namedByConnection(raw: readonly string[]): ReadonlySet<string> {
  let names: Set<string> | undefined;
  for (let index = 0; index < raw.length; index += 2) {
    if ((raw[index] as string).toLowerCase() === 'connection') {
      names ??= new Set();
      for (const name of (raw[index + 1] as string).toLowerCase().split(','))
        names.add(name.trim());
    }
  }
  return names ?? NO_NAMES;
}

function containsKey(value: string, encodings: readonly string[]): boolean {
  return encodings.some((encoding) => value.includes(encoding));
}

/**
 * Selects the headers that are forwarded to the next hop.
 *
 * @param raw - Alternating names and values, as received.
 * @param options - Encodings of a key that no header may contain, further names to remove, in lower case, and whether
 *   to keep the declared length. Responses keep it, since it tells callers of a HEAD request the size.
 * @returns Alternating names and values.
 * @internal
 */
export function forwardableHeaders(
  raw: readonly string[],
  options: {
    readonly keyEncodings?: readonly string[];
    readonly keepLength?: boolean;
    readonly without?: ReadonlySet<string>;
  } = {},
): string[] {
  const named = namedByConnection(raw);
  const keyEncodings = options.keyEncodings ?? [];
  const without = options.without ?? NO_NAMES;
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] as string;
    const lower = name.toLowerCase();
    const value = raw[index + 1] as string;
    const isRemoved =
      (REMOVED_HEADERS.has(lower) &&
        !(options.keepLength === true && lower === 'content-length')) ||
      lower.startsWith(SYSTEM_HEADER_PREFIX) ||
      named.has(lower) ||
      without.has(lower) ||
      (keyEncodings.length > 0 &&
        (containsKey(value, keyEncodings) || containsKey(name, keyEncodings)));
    if (!isRemoved) kept.push(name, value);
  }
  return kept;
}
