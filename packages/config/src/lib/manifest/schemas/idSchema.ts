import * as z from 'zod';

/**
 * Schema of ids. They appear in store keys, headers and metric labels, so they are short and need no escaping.
 *
 * @internal
 */
export const idSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use up to 63 lower-case letters, digits and hyphens');
