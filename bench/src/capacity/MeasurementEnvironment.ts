import type { Clock } from '@buckthornslip/common';
import type { Publisher } from '@buckthornslip/distribution';
import type { Store, StoreServer } from '@buckthornslip/platform';

/**
 * Environment of one measurement: a store, its clients, and the cleanup of everything started for the measurement.
 *
 * @internal
 */
export interface MeasurementEnvironment {
  readonly clock: Clock;
  readonly store: StoreServer;
  readonly storeClient: Store;
  readonly publisher: Publisher;
  /** Directory for settings files. */
  readonly directory: string;
  readonly fleetSecret: string;
  /** Registers a cleanup action. Cleanup actions run in reverse order of their registration. */
  readonly onClose: (end: () => unknown) => void;
}
