import type { Clock } from '@buckthornslip/common';
import type { Publisher } from '@buckthornslip/distribution';
import type { Store, StoreServer } from '@buckthornslip/platform';

/**
 * What one measurement runs in: a store, and all that has to be ended afterwards.
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
  /** Adds what ends a part; parts end in reverse order. */
  readonly onClose: (end: () => unknown) => void;
}
