import type { etcdProtocol } from '@buckthornslip/wire';

import { NO_STORE_ERA } from '../store/NO_STORE_ERA';
import type { StoreEntry } from '../store/StoreEntry';
import type { StoreRevision } from '../store/StoreRevision';

/**
 * @param keyValue - etcd message.
 * @returns The entry of the store interface.
 * @internal
 */
export function toStoreEntry({ key, value, modRevision }: etcdProtocol.KeyValue): StoreEntry {
  return { key: key.toString(), value, revision: modRevision as StoreRevision, era: NO_STORE_ERA };
}
