import type { RouteDefinition } from '@buckthornslip/config';

function matchesPath(prefix: string, path: string): boolean {
  if (prefix === '/' || path === prefix) return true;
  return path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

/**
 * Finds the first matching route.
 *
 * @param routes - Routes in order of matching.
 * @param method - Method of the request.
 * @param path - Normalised path; prefixes match whole segments only.
 * @returns The route, if any.
 * @internal
 */
export function matchRoute(
  routes: readonly RouteDefinition[],
  method: string,
  path: string,
): RouteDefinition | undefined {
  return routes.find(
    ({ methods, pathPrefix }) =>
      (methods.length === 0 || methods.includes(method)) && matchesPath(pathPrefix, path),
  );
}
