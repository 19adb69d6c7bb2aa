import { failure, success, type Result } from '@buckthornslip/common';
import { etcdProtocol } from '@buckthornslip/wire';

import type { StoreError } from '../store/StoreError';
import type { StoreRevision } from '../store/StoreRevision';
import { callUnary } from './callUnary';
import type { StoreConnection } from './StoreConnection';
import { toStoreEntry } from './toStoreEntry';

function toResult(response: etcdProtocol.TxnResponse): Result<StoreRevision, StoreError> {
  if (response.succeeded) return success((response.header?.revision ?? 0) as StoreRevision);
  const read = response.responses[0]?.response;
  const keyValue = read?.$case === 'responseRange' ? read.value.kvs[0] : undefined;
  return failure({ kind: 'conflict', current: keyValue && toStoreEntry(keyValue) });
}

/**
 * Changes one key in a transaction if the key is at the expected revision; otherwise the transaction reads
 * the current entry.
 *
 * @internal
 */
export function runTransaction(
  connection: StoreConnection,
  key: string,
  expectedRevision: number,
  change: etcdProtocol.RequestOp,
): Promise<Result<StoreRevision, StoreError>> {
  const { clock, timeoutMilliseconds } = connection;
  const keyBytes = Buffer.from(key);
  const request: etcdProtocol.TxnRequest = {
    compare: [
      {
        result: etcdProtocol.Compare_CompareResult.EQUAL,
        target: etcdProtocol.Compare_CompareTarget.MOD,
        key: keyBytes,
        targetUnion: { $case: 'modRevision', value: expectedRevision },
      },
    ],
    success: [change],
    failure: [
      {
        request: {
          $case: 'requestRange',
          value: { key: keyBytes, rangeEnd: Buffer.alloc(0) },
        },
      },
    ],
  };
  return connection.write(async ({ kv }) => {
    const result = await callUnary<etcdProtocol.TxnResponse>(
      clock,
      timeoutMilliseconds,
      (callback) => kv.txn(request, callback),
    );
    return result.ok ? toResult(result.value) : result;
  });
}
