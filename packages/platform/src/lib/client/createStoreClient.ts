import { randomInt } from 'node:crypto';

import { failure, success, type Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';
import type { etcdProtocol } from '@buckthornslip/wire';
import { Subject, takeUntil } from 'rxjs';

import { checkValueSize } from '../store/checkValueSize';
import { MAXIMUM_LEASE_ID } from '../store/MAXIMUM_LEASE_ID';
import { NO_STORE_ERA } from '../store/NO_STORE_ERA';
import { prefixRangeEnd } from '../store/prefixRangeEnd';
import type { Store } from '../store/Store';
import type { StoreLeaseId } from '../store/StoreLeaseId';
import { callUnary } from './callUnary';
import { createClientWatch } from './createClientWatch';
import { createStoreConnection } from './createStoreConnection';
import { runKeepAlive } from './runKeepAlive';
import { runRange } from './runRange';
import { runTransaction } from './runTransaction';

/** Default timeout of an attempt, in milliseconds. The store usually responds within a few milliseconds. */
const DEFAULT_TIMEOUT_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a client of a store that implements the etcd v3 protocol.
 *
 * @param options - `endpoints` are "address:port"; `timeoutMilliseconds` limits each attempt.
 * @returns The store; it connects on first use.
 * @public
 */
export function createStoreClient(options: {
  readonly endpoints: readonly string[];
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly timeoutMilliseconds?: number;
}): Store {
  const { clock, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS } = options;
  const connection = createStoreConnection({ ...options, timeoutMilliseconds });
  const closed = new Subject<void>();

  const get: Store['get'] = async (key) => {
    const listing = await runRange(connection, key, '');
    return listing.ok ? success(listing.value.entries[0]) : listing;
  };

  const compareAndSwap: Store['compareAndSwap'] = async (key, expected, value, leaseId) => {
    const tooLarge = checkValueSize(value);
    if (tooLarge) return failure(tooLarge);
    const put = { key: Buffer.from(key), value: Buffer.from(value), lease: leaseId ?? 0 };
    const change = { request: { $case: 'requestPut', value: put } } as const;
    return runTransaction(connection, key, expected, change);
  };

  const remove: Store['remove'] = (key, expected) => {
    const range = { key: Buffer.from(key), rangeEnd: Buffer.alloc(0) };
    const change = { request: { $case: 'requestDeleteRange', value: range } } as const;
    return runTransaction(connection, key, expected, change);
  };

  const grantLease: Store['grantLease'] = async (timeToLiveMilliseconds) => {
    const TTL = Math.ceil(timeToLiveMilliseconds / MILLISECONDS_PER_SECOND);
    const request = { TTL, ID: randomInt(1, MAXIMUM_LEASE_ID) };
    const result = await connection.write(({ lease }) =>
      callUnary<etcdProtocol.LeaseGrantResponse>(clock, timeoutMilliseconds, (callback) =>
        lease.leaseGrant(request, callback),
      ),
    );
    if (!result.ok) return result;
    const { error } = result.value;
    if (error !== '') return failure({ kind: 'rejected', message: error });
    return success({
      id: result.value.ID as StoreLeaseId,
      timeToLiveMilliseconds: result.value.TTL * MILLISECONDS_PER_SECOND,
      era: NO_STORE_ERA,
    });
  };

  const revokeLease: Store['revokeLease'] = async (leaseId) => {
    const result = await connection.write(({ lease }) =>
      callUnary<etcdProtocol.LeaseRevokeResponse>(clock, timeoutMilliseconds, (callback) =>
        lease.leaseRevoke({ ID: leaseId }, callback),
      ),
    );
    return result.ok ? success(undefined) : result;
  };

  return {
    get,
    list: (prefix) => runRange(connection, prefix, prefixRangeEnd(prefix)),
    compareAndSwap,
    remove,
    watch: (prefix, fromRevision) =>
      createClientWatch(connection, prefix, fromRevision).pipe(takeUntil(closed)),
    grantLease,
    keepAlive: (leaseId) => runKeepAlive(connection, leaseId),
    revokeLease,
    era: () => NO_STORE_ERA,
    close: () => {
      closed.next();
      connection.close();
    },
  };
}
