import type { AddressInfo } from 'node:net';

import type { ListenAddress } from '@buckthornslip/config';

/**
 * An HTTP listener of the call path.
 *
 * @public
 */
export interface HttpListener {
  /** Starts to accept connections. */
  readonly listen: (address: ListenAddress) => Promise<void>;
  /** @returns The bound address. Must not be called before `listen` has resolved. */
  readonly address: () => AddressInfo;
  /** Refuses new calls and resolves when all calls in progress have finished. */
  readonly drain: () => Promise<void>;
  /** Closes all connections immediately. */
  readonly close: () => Promise<void>;
}
