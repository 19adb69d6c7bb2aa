/**
 * Why a claim was refused. The request has not run because of this claim.
 *
 * @public
 */
export type ClaimRefusal =
  | { readonly kind: 'home-unavailable' }
  | { readonly kind: 'idempotency-key-reused' }
  | { readonly kind: 'outcome-unknown' };
