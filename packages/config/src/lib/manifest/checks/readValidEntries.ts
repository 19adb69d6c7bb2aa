import type * as z from 'zod';

import { accountSchema } from '../schemas/accountSchema';
import { routeSchema } from '../schemas/routeSchema';
import type { ValidEntries } from './ValidEntries';

type Table = Readonly<Record<string, unknown>>;

function asTable(value: unknown): Table {
  return typeof value === 'object' && value !== null ? (value as Table) : {};
}

function asList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function parseEntries<Entry>(
  schema: z.ZodType<Entry>,
  value: unknown,
): readonly { readonly index: number; readonly entry: Entry }[] {
  return asList(value).flatMap((raw, index) => {
    const parsed = schema.safeParse(raw);
    return parsed.success ? [{ index, entry: parsed.data }] : [];
  });
}

function readZones(regions: unknown): ValidEntries['zones'] {
  return Object.entries(asTable(regions)).flatMap(([region, raw]) =>
    asList(asTable(raw).zones).flatMap((zone, index) =>
      typeof zone === 'string' ? [{ zone, region, index }] : [],
    ),
  );
}

/**
 * @param document - Root table of a manifest, not yet validated.
 * @returns The entries that are valid on their own.
 * @internal
 */
export function readValidEntries(document: Table): ValidEntries {
  const names = asList(document.routes).map((route) => asTable(route).name);
  return {
    services: new Set(Object.keys(asTable(document.services))),
    routeNames: new Set(names.filter((name) => typeof name === 'string')),
    routes: parseEntries(routeSchema, document.routes),
    accounts: parseEntries(accountSchema, document.accounts),
    zones: readZones(document.regions),
  };
}
