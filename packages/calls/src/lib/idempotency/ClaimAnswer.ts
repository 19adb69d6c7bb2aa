import type { Claim } from './Claim';
import type { ClaimRefusal } from './ClaimRefusal';

/**
 * Answer of a node that was asked as home.
 *
 * @public
 */
export type ClaimAnswer =
  | { readonly kind: 'bound'; readonly claim: Claim }
  | { readonly kind: 'not-holder' }
  | ClaimRefusal;
