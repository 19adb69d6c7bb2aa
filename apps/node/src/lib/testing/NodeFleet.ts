import type { Publisher } from '@buckthornslip/distribution';
import type { StoreServer } from '@buckthornslip/platform';

import type { FleetHost } from './FleetHost';

/**
 * Nodes with their upstreams and a store, in one process on loopback addresses.
 *
 * @public
 */
export interface NodeFleet {
  readonly store: StoreServer;
  readonly publisher: Publisher;
  readonly hosts: readonly FleetHost[];
  /** Closes everything immediately, without a graceful shutdown. */
  readonly close: () => Promise<void>;
}
