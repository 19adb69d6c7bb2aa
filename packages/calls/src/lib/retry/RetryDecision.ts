import type { RetryReason } from '@buckthornslip/common';

/**
 * Whether a retry is allowed, with the reason that the metrics count.
 *
 * @public
 */
export type RetryDecision =
  | { readonly retry: true; readonly reason: RetryReason; readonly backOffMilliseconds: number }
  | { readonly retry: false; readonly reason: RetryReason };
