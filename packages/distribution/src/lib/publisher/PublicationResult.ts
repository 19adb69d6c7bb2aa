import type { InstallRevisionRequest } from '@buckthornslip/wire';

import type { PublicationRefusal } from './PublicationRefusal';

/**
 * Result of a publication.
 *
 * @public
 */
export type PublicationResult =
  /** The store accepted the revision, or the current revision already had this content (`isUnchanged`). */
  | {
      readonly kind: 'published';
      readonly revision: number;
      readonly isUnchanged: boolean;
      /** The signed head and the new parts, for direct installation on nodes; undefined if unchanged. */
      readonly install: InstallRevisionRequest | undefined;
    }
  /** Another revision was published first; nothing was changed. */
  | { readonly kind: 'conflict'; readonly currentRevision: number }
  /** The store did not respond: the revision may have been accepted or may still be accepted later. */
  | { readonly kind: 'unknown'; readonly revision: number; readonly publicationId: string }
  | { readonly kind: 'not-published'; readonly refusal: PublicationRefusal };
