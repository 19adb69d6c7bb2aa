import type { ConfigurationIssue } from '@buckthornslip/config';

/**
 * Why a revision that arrived cannot come into force.
 *
 * @public
 */
export type RevisionError =
  | { readonly kind: 'head-malformed' }
  | { readonly kind: 'signature-invalid' }
  | { readonly kind: 'part-missing'; readonly digest: string }
  | { readonly kind: 'part-corrupt'; readonly digest: string }
  | { readonly kind: 'manifest-invalid'; readonly faults: readonly ConfigurationIssue[] };
