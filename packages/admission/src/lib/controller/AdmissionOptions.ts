import type { Clock } from '@buckthornslip/common';

/**
 * Options of an admission controller.
 *
 * @public
 */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Maximum number of queued calls. */
  readonly queueCapacity?: number;
  /** Whether latency and failures of calls adjust the concurrency limit; true by default. */
  readonly adaptsToLatency?: boolean;
}
