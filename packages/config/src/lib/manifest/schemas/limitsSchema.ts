import * as z from 'zod';

import { positiveInteger } from './positiveInteger';

const DAY_MILLISECONDS = 86_400_000;
const MAXIMUM_BODY_BYTES = 2 ** 30;
const MAXIMUM_RETRY_BUDGET = 100;

const milliseconds = positiveInteger(DAY_MILLISECONDS);

/**
 * Schemas of the values that `[limits]` sets by default and that a route or service may override.
 *
 * @internal
 */
export const limitSchemas = {
  deadline_milliseconds: milliseconds,
  body_limit_bytes: z.int().min(0).max(MAXIMUM_BODY_BYTES),
  retry_budget: z.int().min(0).max(MAXIMUM_RETRY_BUDGET),
  queue_target_milliseconds: milliseconds,
  first_byte_timeout_milliseconds: milliseconds,
};

/**
 * Schema of the table `[limits]`.
 *
 * @internal
 */
export const limitsSchema = z.strictObject({
  deadline_milliseconds: limitSchemas.deadline_milliseconds.default(5_000),
  body_limit_bytes: limitSchemas.body_limit_bytes.default(2 ** 20),
  retry_budget: limitSchemas.retry_budget.default(3),
  queue_target_milliseconds: limitSchemas.queue_target_milliseconds.default(100),
  first_byte_timeout_milliseconds: limitSchemas.first_byte_timeout_milliseconds.default(3_000),
});

/**
 * A valid `[limits]` table with all defaults filled in.
 *
 * @internal
 */
export type Limits = z.infer<typeof limitsSchema>;
