import type { Outcome, RefusalReason } from '@buckthornslip/common';

/**
 * The answer to a call that was refused or has failed.
 *
 * @public
 */
export interface Refusal {
  readonly kind: 'refusal';
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  /** Time after which a new request may succeed, in milliseconds; undefined for the default of the reason. */
  readonly retryAfterMilliseconds?: number;
  /** Validation errors of the request, by path. */
  readonly errors?: readonly { readonly path: string; readonly message: string }[];
  /** Whether the serving node has marked the attempt as never to run, so that its key can be released. */
  readonly attemptNeverRuns?: boolean;
  /** Load of the serving node, if it was a serving node that refused. */
  readonly load?: string;
}
