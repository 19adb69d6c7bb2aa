import * as z from 'zod';

import { idSchema } from './idSchema';
import { limitSchemas } from './limitsSchema';
import { pathPrefixSchema } from './pathPrefixSchema';

const methodSchema = z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

/**
 * Schema of one entry of `[[routes]]`.
 *
 * @internal
 */
export const routeSchema = z.strictObject({
  name: idSchema,
  service: idSchema,
  methods: z.array(methodSchema).default([]),
  path_prefix: pathPrefixSchema,
  access: z.enum(['open', 'keyed']).default('keyed'),
  priority: z.enum(['critical', 'high', 'normal', 'low']).default('normal'),
  repeatable: z.boolean().optional(),
  idempotency_key: z.enum(['required', 'optional']).default('required'),
  deadline_milliseconds: limitSchemas.deadline_milliseconds.optional(),
  body_limit_bytes: limitSchemas.body_limit_bytes.optional(),
  retry_budget: limitSchemas.retry_budget.optional(),
});

/**
 * A valid entry of `[[routes]]`.
 *
 * @internal
 */
export type RouteEntry = z.infer<typeof routeSchema>;
