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
  /**
   * Whether the load states the expected work and the speed of the upstream, and calls that can't complete in time are
   * refused on arrival in the queue; false by default. Calls then state their expected costs.
   */
  readonly estimatesWork?: boolean;
}
