import type { Claim } from './Claim';
import type { ClaimRefusal } from './ClaimRefusal';

/**
 * A node's answer to a claim. "not-holder" if the node does not hold the registry's lease.
 *
 * @public
 */
export type ClaimAnswer =
  | { readonly kind: 'bound'; readonly claim: Claim }
  | { readonly kind: 'not-holder' }
  | ClaimRefusal;
