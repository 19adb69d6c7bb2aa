import * as z from 'zod';

/**
 * Faults that can be injected into a stub upstream while it runs.
 *
 * @internal
 */
export const upstreamFaultsSchema = z.strictObject({
  /** Added to the latency of each call, in milliseconds. */
  slowMilliseconds: z.number().min(0).default(0),
  /** Whether calls are accepted but never answered. */
  silent: z.boolean().default(false),
  /** Marker of a call that crashes the upstream. */
  crashMarker: z.string().optional(),
  /** Fraction of calls refused as not run, from 0 to 1. */
  shedShare: z.number().min(0).max(1).default(0),
  /** Whether the connection is closed after half of the response body. */
  truncate: z.boolean().default(false),
  /** What the health endpoint reports, regardless of the actual state. */
  health: z.enum(['ok', 'failing']).default('ok'),
});

/**
 * Faults of a stub upstream.
 *
 * @public
 */
export type UpstreamFaults = z.infer<typeof upstreamFaultsSchema>;
