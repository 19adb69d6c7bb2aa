/**
 * Why a call context was rejected.
 *
 * @public
 */
export type ContextError =
  | { readonly kind: 'missing' }
  | { readonly kind: 'malformed' }
  | { readonly kind: 'forged' }
  | { readonly kind: 'expired' };
