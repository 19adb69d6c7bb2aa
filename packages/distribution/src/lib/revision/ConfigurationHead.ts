import * as z from 'zod';

import { partReferenceSchema } from './PartReference';

const revisionSchema = z.int().min(1);

/**
 * Schema of {@link ConfigurationHead}.
 *
 * @internal
 */
export const headSchema = z.object({
  revision: revisionSchema,
  publicationId: z.string().min(1),
  manifest: partReferenceSchema,
  /** Log of key records, oldest first. */
  keys: z.array(partReferenceSchema),
  keySetRevision: z.int().min(0),
  /**
   * The most recent publications, oldest first, including this one. A publisher whose response was lost looks here for
   * its own.
   */
  recent: z.array(z.object({ revision: revisionSchema, publicationId: z.string() })),
  /**
   * Parts that only earlier revisions refer to and that are still in the store, with the revision that dropped them.
   */
  retired: z.array(z.object({ revision: revisionSchema, part: partReferenceSchema })),
});

/**
 * Value of the store key `config/head`: lists the parts of the current revision of the configuration.
 *
 * @public
 */
export type ConfigurationHead = z.infer<typeof headSchema>;
