/**
 * Reason why no serving node was chosen.
 *
 * @public
 */
export type RoutingRefusal =
  | { readonly kind: 'no-upstream' }
  | { readonly kind: 'region-not-allowed' }
  | { readonly kind: 'priority-cutoff' }
  | { readonly kind: 'link-budget' };
