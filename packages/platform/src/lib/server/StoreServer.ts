import type { StoreCallCounts } from '../memory/StoreCallCounts';
import type { StoreFaults } from '../memory/StoreFaults';

/**
 * An in-memory store server for tests that etcd clients connect to.
 *
 * @public
 */
export interface StoreServer {
  /** "address:port" on which the server listens. */
  readonly address: string;
  readonly faults: StoreFaults;
  readonly calls: Readonly<StoreCallCounts>;
  readonly compact: (revision: number) => void;
  readonly close: () => void;
}
