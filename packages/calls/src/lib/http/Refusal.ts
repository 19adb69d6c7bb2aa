import type { Outcome, RefusalReason } from '@buckthornslip/common';

/**
 * A call that was refused or has failed.
 *
 * @public
 */
export interface Refusal {
  readonly kind: 'refusal';
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  /** When a new request may succeed, in milliseconds; undefined for the default of the reason. */
  readonly retryAfterMilliseconds?: number;
  /** Faults found in the request, by path. */
  readonly errors?: readonly { readonly path: string; readonly message: string }[];
  /** Whether the serving node has marked the attempt as never to run, so that its key may be freed. */
  readonly attemptNeverRuns?: boolean;
  /** Load of the serving node that refused, if one did. */
  readonly load?: string;
}
