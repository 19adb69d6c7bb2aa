/** Characters allowed in a target. Others, such as "#", "\\" and control characters, are rejected. */
const ALLOWED = /^\/[\w\-.~!$&'()*+,;=:@%/?[\]|{}"^`<>]*$/;
const ENCODED = /%([0-9A-Fa-f]{2})/g;
const BAD_ENCODING = /%(?![0-9A-Fa-f]{2})/;
const UNRESERVED = /^[\w\-.~]$/;

function decodeUnreserved(path: string): string {
  return path.replace(ENCODED, (sequence, hexadecimal: string) => {
    const character = String.fromCharCode(Number.parseInt(hexadecimal, 16));
    return UNRESERVED.test(character) ? character : sequence.toUpperCase();
  });
}

function isAmbiguous(path: string): boolean {
  // Servers disagree on whether these sequences separate segments or end the path.
  return (
    /%(?:2F|5C|00|0A|0D)/.test(path) ||
    path.includes('//') ||
    path.split('/').some((segment) => /^\.\.?(?:;|$)/.test(segment))
  );
}

/**
 * A normalised request target, so that the upstream sees the same path that the route was matched with.
 *
 * @internal
 */
export interface NormalisedTarget {
  readonly path: string;
  /** Path and query, as forwarded. */
  readonly target: string;
}

/**
 * Normalises a request target in origin form.
 *
 * @param target - Target as received.
 * @returns The target, or undefined if servers could interpret its path differently.
 * @internal
 */
export function normaliseTarget(target: string): NormalisedTarget | undefined {
  if (!ALLOWED.test(target) || BAD_ENCODING.test(target)) return undefined;
  const queryStart = target.indexOf('?');
  const rawPath = queryStart < 0 ? target : target.slice(0, queryStart);
  const path = rawPath.includes('%') ? decodeUnreserved(rawPath) : rawPath;
  if (isAmbiguous(path)) return undefined;
  return { path, target: queryStart < 0 ? path : path + target.slice(queryStart) };
}
