/**
 * Reason why a call was refused by its account's limit.
 *
 * @public
 */
export type LimitRefusal =
  | { readonly kind: 'account-rate'; readonly retryAfterMilliseconds: number }
  | { readonly kind: 'limit-unavailable'; readonly retryAfterMilliseconds: number };
