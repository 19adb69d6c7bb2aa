/**
 * @param segments - Table names and array indexes from the root of the document.
 * @returns The path as shown in issues, for example "routes[3].priority".
 * @internal
 */
export function formatPath(segments: readonly PropertyKey[]): string {
  return segments.reduce<string>((path, segment) => {
    if (typeof segment === 'number') return `${path}[${segment}]`;
    return path === '' ? String(segment) : `${path}.${String(segment)}`;
  }, '');
}
