/**
 * Why a store operation failed. After `unavailable` the operation may have taken effect.
 *
 * @public
 */
export type ContactStoreError = { readonly kind: 'unavailable' } | { readonly kind: 'lease-ended' };
