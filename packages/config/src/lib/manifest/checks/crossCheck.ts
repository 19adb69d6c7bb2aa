import type { ConfigurationIssue } from '../../issues/ConfigurationIssue';
import { findDuplicates } from './findDuplicates';
import { isCoveredBy } from './isCoveredBy';
import type { ReadableParts } from './ReadableParts';

type Check = (parts: ReadableParts) => readonly ConfigurationIssue[];

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

const checkServices: Check = ({ routes, services }) =>
  routes
    .filter(({ entry }) => !services.has(entry.service))
    .map(({ index, entry }) => ({
      path: `routes[${index}].service`,
      message: `unknown service "${entry.service}"`,
    }));

const checkAccountRoutes: Check = ({ accounts, routeNames }) =>
  accounts.flatMap(({ index, entry }) =>
    entry.routes.flatMap((name, position) =>
      routeNames.has(name)
        ? []
        : [{ path: `accounts[${index}].routes[${position}]`, message: `unknown route "${name}"` }],
    ),
  );

const checkReachable: Check = ({ routes }) =>
  routes.flatMap(({ index, entry }, position) => {
    const earlier = routes.slice(0, position).map((other) => other.entry);
    if (!isCoveredBy(entry, earlier)) return [];
    return [
      {
        path: `routes[${index}]`,
        message: `route "${entry.name}" is never reached: earlier routes match all its requests`,
      },
    ];
  });

const checks: readonly Check[] = [checkNames, checkServices, checkAccountRoutes, checkReachable];

/**
 * Checks the parts of a manifest against each other.
 *
 * @param parts - The parts that could be read.
 * @returns All faults found.
 * @internal
 */
export function crossCheck(parts: ReadableParts): readonly ConfigurationIssue[] {
  return checks.flatMap((check) => check(parts));
}
