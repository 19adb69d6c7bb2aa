import * as z from 'zod';

/**
 * @param max - Maximum value.
 * @returns A schema for integers from 1 to the maximum.
 * @internal
 */
export function positiveInteger(max: number): z.ZodInt {
  return z.int().min(1).max(max);
}
