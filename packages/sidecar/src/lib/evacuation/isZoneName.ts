/** Readable names of zones: no separators of keys, no white space and no control characters. */
const ZONE_NAME = /^[^\s/\p{C}]{1,64}$/u;

/**
 * @param name - A name from a store key or from a message.
 * @returns Whether it can be the name of a zone.
 * @internal
 */
export function isZoneName(name: string): boolean {
  return ZONE_NAME.test(name);
}
