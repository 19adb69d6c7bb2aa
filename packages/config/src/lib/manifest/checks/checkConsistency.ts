import type { ConfigurationIssue } from '../../issues/ConfigurationIssue';
import { findDuplicates } from './findDuplicates';
import { isShadowedBy } from './isShadowedBy';
import type { ValidEntries } from './ValidEntries';

type Check = (entries: ValidEntries) => readonly ConfigurationIssue[];

const checkNames: Check = ({ routes, accounts, zones }) => [
  ...findDuplicates(
    routes.map(({ index, entry }) => ({ name: entry.name, path: `routes[${index}].name` })),
  ),
  ...findDuplicates(
    accounts.map(({ index, entry }) => ({ name: entry.id, path: `accounts[${index}].id` })),
  ),
  ...findDuplicates(
    zones.map(({ zone, region, index }) => ({
      name: zone,
      path: `regions.${region}.zones[${index}]`,
    })),
  ),
];

const checkServiceReferences: Check = ({ routes, services }) =>
  routes
    .filter(({ entry }) => !services.has(entry.service))
    .map(({ index, entry }) => ({
      path: `routes[${index}].service`,
      message: `unknown service "${entry.service}"`,
    }));

const checkRouteReferences: Check = ({ accounts, routeNames }) =>
  accounts.flatMap(({ index, entry }) =>
    entry.routes.flatMap((name, position) =>
      routeNames.has(name)
        ? []
        : [{ path: `accounts[${index}].routes[${position}]`, message: `unknown route "${name}"` }],
    ),
  );

const checkShadowing: Check = ({ routes }) =>
  routes.flatMap(({ index, entry }, position) => {
    const earlier = routes.slice(0, position).map((other) => other.entry);
    if (!isShadowedBy(entry, earlier)) return [];
    return [
      {
        path: `routes[${index}]`,
        message: `route "${entry.name}" is never reached: earlier routes match all its requests`,
      },
    ];
  });

const checks: readonly Check[] = [
  checkNames,
  checkServiceReferences,
  checkRouteReferences,
  checkShadowing,
];

/**
 * Checks the entries of a manifest against each other: unique names, existing references, reachable routes.
 *
 * @param entries - The entries that are valid on their own.
 * @returns All issues found.
 * @internal
 */
export function checkConsistency(entries: ValidEntries): readonly ConfigurationIssue[] {
  return checks.flatMap((check) => check(entries));
}
