import type { RegionId } from '@buckthornslip/common';

/**
 * Response of a token server to a {@link GrantRequest}.
 *
 * @public
 */
export type GrantResponse =
  | {
      readonly kind: 'granted';
      readonly epoch: number;
      readonly sequence: number;
      readonly tokens: number;
      /**
       * Lifetime of the grant, which the entry node counts from the time at which it sent the
       * request.
       */
      readonly lifeMilliseconds: number;
    }
  | { readonly kind: 'empty'; readonly retryAfterMilliseconds: number }
  | { readonly kind: 'other-region'; readonly region: RegionId }
  | { readonly kind: 'not-holder' };
