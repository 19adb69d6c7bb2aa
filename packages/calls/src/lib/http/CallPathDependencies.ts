import type { Clock } from '@buckthornslip/common';
import type { EventLogger, Metrics } from '@buckthornslip/telemetry';

/**
 * Dependencies of every part of the call path.
 *
 * @public
 */
export interface CallPathDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: EventLogger;
}
