import type { Clock } from '@buckthornslip/common';

/**
 * What an admission controller needs.
 *
 * @public
 */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Largest number of queued calls. */
  readonly queueCapacity?: number;
  /** Whether latency and failures of calls move the concurrency limit; true if left out. */
  readonly adaptsToLatency?: boolean;
}
