import type { Manifest } from '@buckthornslip/config';

import type { Difference } from './Difference';

type Table = Readonly<Record<string, unknown>>;

/** Keys routes by name. Their order, which decides which of several matching routes applies, is compared separately. */
function toTable(manifest: Manifest): Table {
  return {
    release: manifest.release,
    regions: Object.fromEntries(manifest.regions),
    services: Object.fromEntries(manifest.services),
    routeOrder: manifest.routes.map(({ name }) => name),
    routes: Object.fromEntries(manifest.routes.map((route) => [route.name, route])),
    accounts: Object.fromEntries(manifest.accounts),
  };
}

function isTable(value: unknown): value is Table {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function compareValues(path: string, before: unknown, after: unknown): readonly Difference[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  if (!isTable(before) || !isTable(after)) return [{ path, before, after }];
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names.flatMap((name) =>
    compareValues(path === '' ? name : `${path}.${name}`, before[name], after[name]),
  );
}

/**
 * @param before - Old manifest.
 * @param after - New manifest.
 * @returns All differences, including those in default values.
 * @internal
 */
export function compareManifests(before: Manifest, after: Manifest): readonly Difference[] {
  return compareValues('', toTable(before), toTable(after));
}
