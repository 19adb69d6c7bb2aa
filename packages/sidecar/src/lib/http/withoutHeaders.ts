/**
 * @param raw - Names and values in turn.
 * @param names - Names to leave out, in lower case.
 * @returns The other names and values in turn.
 * @internal
 */
export function withoutHeaders(raw: readonly string[], names: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] as string;
    if (!names.has(name.toLowerCase())) kept.push(name, raw[index + 1] as string);
  }
  return kept;
}
