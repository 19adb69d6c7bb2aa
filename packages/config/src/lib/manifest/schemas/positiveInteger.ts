import * as z from 'zod';

/**
 * @param max - Largest value accepted.
 * @returns A schema for integers from 1 to the largest value.
 * @internal
 */
export function positiveInteger(max: number): z.ZodInt {
  return z.int().min(1).max(max);
}
