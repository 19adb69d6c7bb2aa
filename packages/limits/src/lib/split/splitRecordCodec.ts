import * as z from 'zod';
import { failure, success } from '@buckthornslip/common';
import type { AccountId, RegionId, Result } from '@buckthornslip/common';

import { FULL_SHARE } from './FULL_SHARE';
import type { SplitRecord } from './SplitRecord';

const millionths = z.record(z.string(), z.number().int().min(0));

const accountSchema = z.object({
  parts: millionths.refine(
    (parts) => Object.values(parts).reduce((sum, part) => sum + part, 0) <= FULL_SHARE,
    'parts add up to more than the full share',
  ),
  wants: millionths,
});

const recordSchema = z.object({
  epochs: z.record(z.string(), z.number().int().min(0)),
  accounts: z.record(z.string(), accountSchema),
});

const regionMap = (values: Readonly<Record<string, number>>): ReadonlyMap<RegionId, number> =>
  new Map(Object.entries(values) as [RegionId, number][]);

/**
 * Encodes and decodes split records as JSON.
 *
 * @internal
 */
export const splitRecordCodec = {
  encode: (record: SplitRecord): string =>
    JSON.stringify({
      epochs: Object.fromEntries(record.epochs),
      accounts: Object.fromEntries(
        [...record.accounts].map(([account, { parts, wants }]) => [
          account,
          { parts: Object.fromEntries(parts), wants: Object.fromEntries(wants) },
        ]),
      ),
    }),

  decode: (value: string): Result<SplitRecord, { readonly kind: 'malformed' }> => {
    try {
      const { epochs, accounts } = recordSchema.parse(JSON.parse(value));
      const entries = Object.entries(accounts).map(
        ([account, { parts, wants }]) =>
          [account as AccountId, { parts: regionMap(parts), wants: regionMap(wants) }] as const,
      );
      return success({ epochs: regionMap(epochs), accounts: new Map(entries) });
    } catch {
      return failure({ kind: 'malformed' });
    }
  },
};
