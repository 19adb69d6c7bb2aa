import type { Outcome, RefusalReason, RetryReason } from '@buckthornslip/common';
import type { Registry } from 'prom-client';

/**
 * Metrics of one process.
 *
 * @public
 */
export interface Metrics {
  /** Registry in which other packages register their own metrics. */
  readonly registry: Registry;

  /** Counts a refused or failed call. */
  readonly countRefusal: (reason: RefusalReason, outcome: Outcome) => void;

  /** Counts a retry that was made or denied. */
  readonly countRetry: (reason: RetryReason) => void;
}
