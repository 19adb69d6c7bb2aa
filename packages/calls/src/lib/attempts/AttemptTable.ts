import type { AttemptId } from '@buckthornslip/common';

import type { AttemptResult } from './AttemptResult';

/**
 * Attempts of one serving node process. Ensures that each attempt id runs at most once in the process.
 *
 * @public
 */
export interface AttemptTable {
  /**
   * Looks up an attempt, and adds it if it is new.
   *
   * @param attemptId - The attempt.
   * @returns "new" for the one caller that may run the attempt, "known" with a promise of its result, or "full".
   */
  readonly enter: (
    attemptId: AttemptId,
  ) =>
    | { readonly kind: 'new' }
    | { readonly kind: 'known'; readonly result: Promise<AttemptResult> }
    | { readonly kind: 'full' };

  /** Looks up an attempt without adding it. */
  readonly find: (attemptId: AttemptId) => Promise<AttemptResult> | undefined;

  /** Records the result of an attempt. After "not-run" the attempt can never run here. */
  readonly finish: (attemptId: AttemptId, result: AttemptResult) => void;
}
