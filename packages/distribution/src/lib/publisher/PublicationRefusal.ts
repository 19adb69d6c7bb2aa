import type { ConfigurationIssue } from '@buckthornslip/config';

import type { RevisionError } from '../revision/RevisionError';

/**
 * Reason why a publication was rejected without changing the configuration.
 *
 * @public
 */
export type PublicationRefusal =
  | { readonly kind: 'manifest-invalid'; readonly faults: readonly ConfigurationIssue[] }
  /** Keys cannot be granted before the first manifest is published. */
  | { readonly kind: 'manifest-missing' }
  | { readonly kind: 'account-unknown' }
  | { readonly kind: 'key-unknown' }
  /** Reading or writing the store failed before an update of the head was attempted. */
  | { readonly kind: 'store-failed'; readonly reason: string }
  | { readonly kind: 'revision-unreadable'; readonly error: RevisionError };
