import { success, type Result } from '@buckthornslip/common';
import { etcdProtocol } from '@buckthornslip/wire';

import { NO_STORE_ERA } from '../store/NO_STORE_ERA';
import type { StoreError } from '../store/StoreError';
import type { StoreListing } from '../store/StoreListing';
import type { StoreRevision } from '../store/StoreRevision';
import { callUnary } from './callUnary';
import type { StoreConnection } from './StoreConnection';
import { toStoreEntry } from './toStoreEntry';

/**
 * Reads a key or a range of keys.
 *
 * @param connection - Connections to the store.
 * @param key - The key, or the first key of the range.
 * @param rangeEnd - Exclusive end of the range; empty for a single key.
 * @internal
 */
export function runRange(
  connection: StoreConnection,
  key: string,
  rangeEnd: string,
): Promise<Result<StoreListing, StoreError>> {
  const { clock, timeoutMilliseconds } = connection;
  const request = { key: Buffer.from(key), rangeEnd: Buffer.from(rangeEnd) };
  return connection.read(async ({ kv }) => {
    const result = await callUnary<etcdProtocol.RangeResponse>(
      clock,
      timeoutMilliseconds,
      (callback) => kv.range(request, callback),
    );
    if (!result.ok) return result;
    const revision = (result.value.header?.revision ?? 0) as StoreRevision;
    return success({ entries: result.value.kvs.map(toStoreEntry), revision, era: NO_STORE_ERA });
  });
}
