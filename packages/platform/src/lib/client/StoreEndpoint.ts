import type { etcdProtocol } from '@buckthornslip/wire';

/**
 * Connections to one endpoint of the store.
 *
 * @internal
 */
export interface StoreEndpoint {
  readonly address: string;
  readonly kv: etcdProtocol.KVClient;
  readonly watch: etcdProtocol.WatchClient;
  readonly lease: etcdProtocol.LeaseClient;
  readonly close: () => void;
}
