import type { ConfigurationIssue } from '../../issues/ConfigurationIssue';

/**
 * @param names - Names that must be unique, each with its path in the document.
 * @returns An issue for each name that an earlier entry already uses.
 * @internal
 */
export function findDuplicates(
  names: readonly { readonly name: string; readonly path: string }[],
): readonly ConfigurationIssue[] {
  const firstPaths = new Map<string, string>();
  return names.flatMap(({ name, path }) => {
    const first = firstPaths.get(name);
    if (first === undefined) firstPaths.set(name, path);
    return first === undefined ? [] : [{ path, message: `"${name}" is already used at ${first}` }];
  });
}
