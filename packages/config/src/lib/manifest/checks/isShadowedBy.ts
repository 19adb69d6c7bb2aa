import type { RouteEntry } from '../schemas/routeSchema';

function isPrefixOfSegments(prefix: string, path: string): boolean {
  return prefix === '/' || path === prefix || path.startsWith(`${prefix}/`);
}

/**
 * @param route - A route.
 * @param earlier - Routes that are tried before it.
 * @returns Whether every request that matches the route also matches one of the earlier routes.
 * @internal
 */
export function isShadowedBy(route: RouteEntry, earlier: readonly RouteEntry[]): boolean {
  const covering = earlier.filter((other) =>
    isPrefixOfSegments(other.path_prefix, route.path_prefix),
  );
  if (covering.some((other) => other.methods.length === 0)) return true;
  if (route.methods.length === 0) return false;
  return route.methods.every((method) => covering.some((other) => other.methods.includes(method)));
}
