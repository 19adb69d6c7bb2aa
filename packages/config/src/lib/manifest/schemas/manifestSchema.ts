import * as z from 'zod';

import { accountSchema } from './accountSchema';
import { idSchema } from './idSchema';
import { limitSchemas, limitsSchema } from './limitsSchema';
import { routeSchema } from './routeSchema';

const regionSchema = z.strictObject({ zones: z.array(idSchema).min(1) });

const serviceSchema = z.strictObject({
  queue_target_milliseconds: limitSchemas.queue_target_milliseconds.optional(),
  first_byte_timeout_milliseconds: limitSchemas.first_byte_timeout_milliseconds.optional(),
});

function isNotEmpty(table: object): boolean {
  return Object.keys(table).length > 0;
}

/**
 * Schema of a manifest document. References between its entries are checked separately, by `checkConsistency`.
 *
 * @internal
 */
export const manifestSchema = z.strictObject({
  release: z.string().min(1).max(200),
  regions: z.record(idSchema, regionSchema).refine(isNotEmpty, 'at least one region is required'),
  services: z
    .record(idSchema, serviceSchema)
    .refine(isNotEmpty, 'at least one service is required'),
  limits: limitsSchema.prefault({}),
  routes: z.array(routeSchema).min(1, 'at least one route is required'),
  accounts: z.array(accountSchema).default([]),
});

/**
 * A valid manifest document.
 *
 * @internal
 */
export type ManifestDocument = z.infer<typeof manifestSchema>;
