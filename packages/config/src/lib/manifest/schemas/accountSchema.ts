import * as z from 'zod';

import { idSchema } from './idSchema';
import { positiveInteger } from './positiveInteger';

const MAXIMUM_RATE_PER_SECOND = 10_000_000;

/**
 * Schema of one entry of `[[accounts]]`.
 *
 * @internal
 */
export const accountSchema = z.strictObject({
  id: idSchema,
  rate_per_second: z
    .number()
    .positive('the rate must be greater than 0')
    .max(MAXIMUM_RATE_PER_SECOND),
  burst: positiveInteger(MAXIMUM_RATE_PER_SECOND).optional(),
  routes: z.array(z.string()).default([]),
  when_isolated: z.enum(['refuse', 'serve']).default('refuse'),
});

/**
 * A valid entry of `[[accounts]]`.
 *
 * @internal
 */
export type AccountEntry = z.infer<typeof accountSchema>;
