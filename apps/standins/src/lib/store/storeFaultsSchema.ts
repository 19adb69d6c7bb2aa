import * as z from 'zod';

/**
 * Faults that can be injected into the in-memory store while it runs.
 *
 * @internal
 */
export const storeFaultsSchema = z.strictObject({
  /** Whether every request fails. */
  down: z.boolean().optional(),
  /** Delay of each request, in milliseconds. */
  slowMilliseconds: z.number().min(0).optional(),
  /** Number of writes, from now on, that take effect but whose response is lost. */
  loseWriteResponses: z.number().int().min(0).optional(),
});
