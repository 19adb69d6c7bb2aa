import * as z from 'zod';

/**
 * Schema of {@link PartReference}.
 *
 * @internal
 */
export const partReferenceSchema = z.object({
  kind: z.enum(['manifest', 'keys']),
  /** SHA-256 of the uncompressed part, in lower-case hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /**
   * Identifies the publication that wrote this copy; other publications may store the same content under their own
   * name.
   */
  copy: z.string().min(1),
  /** Number of store values that hold the compressed part. */
  chunks: z.int().min(1),
});

/**
 * Location of one part of a revision in the store.
 *
 * @public
 */
export type PartReference = z.infer<typeof partReferenceSchema>;
