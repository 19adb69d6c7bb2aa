import { failure, success, type Result } from '@buckthornslip/common';
import type { ServiceError } from '@grpc/grpc-js';
import type { etcdProtocol } from '@buckthornslip/wire';

import type { StoreError } from '../store/StoreError';
import type { StoreLeaseId } from '../store/StoreLeaseId';
import type { StoreConnection } from './StoreConnection';
import { toStoreError } from './toStoreError';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Renews a store lease once. etcd defines keep-alive as a stream, which is closed here after one response.
 *
 * @returns The time to live in milliseconds.
 * @internal
 */
export function runKeepAlive(
  connection: StoreConnection,
  leaseId: StoreLeaseId,
): Promise<Result<number, StoreError>> {
  const { clock, timeoutMilliseconds } = connection;
  return connection.write(
    ({ lease }) =>
      new Promise((resolve) => {
        const call = lease.leaseKeepAlive();
        const cancelTimer = clock.setTimer(timeoutMilliseconds, () => call.cancel());
        const finish = (result: Result<number, StoreError>): void => {
          cancelTimer();
          call.end();
          resolve(result);
        };
        call.on('data', ({ TTL }: etcdProtocol.LeaseKeepAliveResponse) =>
          finish(
            TTL > 0 ? success(TTL * MILLISECONDS_PER_SECOND) : failure({ kind: 'lease-not-found' }),
          ),
        );
        call.on('error', (error: ServiceError) => finish(failure(toStoreError(error))));
        call.on('end', () => finish(failure({ kind: 'unavailable' })));
        call.write({ ID: leaseId });
      }),
  );
}
