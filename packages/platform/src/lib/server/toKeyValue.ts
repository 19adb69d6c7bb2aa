import { etcdProtocol } from '@buckthornslip/wire';

import type { EngineEntry } from '../memory/EngineEntry';

/**
 * @param entry - Entry of the engine.
 * @returns The entry as an etcd message.
 * @internal
 */
export function toKeyValue(entry: EngineEntry): etcdProtocol.KeyValue {
  return {
    key: Buffer.from(entry.key),
    value: Buffer.from(entry.value),
    createRevision: entry.createRevision,
    modRevision: entry.revision,
    version: entry.version,
  };
}
