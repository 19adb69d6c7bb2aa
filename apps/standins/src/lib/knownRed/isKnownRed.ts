/**
 * Tells whether a check is listed as "case: NAME" in KNOWN-RED.txt. `.ci/run` passes the names, one per line, in the
 * variable KNOWN_RED_CASES. Such a check still runs; tap prints its result as todo.
 *
 * @param name - Name of the check.
 * @returns Whether its result does not count.
 * @public
 */
export function isKnownRed(name: string): boolean {
  return (process.env.KNOWN_RED_CASES ?? '').split('\n').includes(name);
}
