/**
 * Why a lease operation failed.
 *
 * @public
 */
export type LeaseError =
  | { readonly kind: 'no-holder' }
  | { readonly kind: 'not-holder' }
  | { readonly kind: 'store-unavailable' }
  | { readonly kind: 'conflict' };
