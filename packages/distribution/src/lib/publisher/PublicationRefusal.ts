import type { ConfigurationIssue } from '@buckthornslip/config';

import type { RevisionError } from '../revision/RevisionError';

/**
 * Why a publication changed nothing.
 *
 * @public
 */
export type PublicationRefusal =
  | { readonly kind: 'manifest-invalid'; readonly faults: readonly ConfigurationIssue[] }
  /** Keys cannot be granted before the first manifest. */
  | { readonly kind: 'manifest-missing' }
  | { readonly kind: 'account-unknown' }
  | { readonly kind: 'key-unknown' }
  /** The store could not be read or written before the head was tried. */
  | { readonly kind: 'store-failed'; readonly reason: string }
  | { readonly kind: 'revision-unreadable'; readonly error: RevisionError };
