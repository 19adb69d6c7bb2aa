import type { Outcome } from '@buckthornslip/common';

import type { StoredResponse } from './StoredResponse';

/**
 * The result of an attempt. If the response is too large to store, only the outcome is kept.
 *
 * @public
 */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly response: StoredResponse }
  | { readonly kind: 'ended'; readonly outcome: Outcome };
