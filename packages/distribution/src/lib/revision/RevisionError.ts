import type { ConfigurationIssue } from '@buckthornslip/config';

/**
 * Reason why a received revision is rejected.
 *
 * @public
 */
export type RevisionError =
  | { readonly kind: 'head-malformed' }
  | { readonly kind: 'signature-invalid' }
  | { readonly kind: 'part-missing'; readonly digest: string }
  | { readonly kind: 'part-corrupt'; readonly digest: string }
  | { readonly kind: 'manifest-invalid'; readonly faults: readonly ConfigurationIssue[] };
