import type { Clock, RandomSource } from '@buckthornslip/common';
import type { NodeSettings } from '@buckthornslip/config';
import type { AccountGrouping } from '@buckthornslip/limits';
import type { Store } from '@buckthornslip/platform';
import type { EventLogger, Metrics } from '@buckthornslip/telemetry';

/**
 * Settings and dependencies of a node.
 *
 * @public
 */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: Store;
  readonly grouping: AccountGrouping;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
}
