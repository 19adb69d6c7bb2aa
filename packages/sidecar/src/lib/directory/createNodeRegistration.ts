import type { Clock, Result } from '@buckthornslip/common';
import { failure } from '@buckthornslip/common';
import type { Store, StoreError, StoreLeaseId, StoreRevision } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

import { directoryTimes } from './directoryTimes';

/** Dependencies and settings of the registration. */
interface NodeRegistrationOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly key: string;
  /** @returns The value to write. */
  readonly value: () => Uint8Array;
  readonly logger: EventLogger;
  /** Called with the revision of the record each time it has been written under a new lease. */
  readonly onWritten: (revision: StoreRevision) => void;
}

/**
 * Registration of this node: its record in the store under a lease.
 *
 * @internal
 */
export interface NodeRegistration {
  readonly start: () => void;
  readonly deregister: () => Promise<void>;
  readonly close: () => void;
}

/**
 * Creates the registration of this node. It writes the record again under a new lease when the previous one has
 * expired.
 *
 * @param options - Dependencies, such as the store, and the key and value of the record.
 * @returns The registration, not yet started.
 * @internal
 */
export function createNodeRegistration(options: NodeRegistrationOptions): NodeRegistration {
  const { clock, key, logger, onWritten, store, value } = options;
  let lease: StoreLeaseId | undefined;
  let isClosed = false;
  let isReachable = true;

  const setReachable = (reachable: boolean, reason?: string): void => {
    if (reachable === isReachable) return;
    isReachable = reachable;
    logger.log(reachable ? 'storeRegained' : 'storeLost', { key, reason });
  };

  const put = async (leaseId: StoreLeaseId): Promise<Result<StoreRevision, StoreError>> => {
    const first = await store.compareAndSwap(key, 0, value(), leaseId);
    if (first.ok || first.error.kind !== 'conflict') return first;
    // The key holds the record of an earlier process on this host; replace it.
    const revision = first.error.current?.revision ?? 0;
    return store.compareAndSwap(key, revision, value(), leaseId);
  };

  const write = async (): Promise<Result<unknown, StoreError>> => {
    const granted = await store.grantLease(directoryTimes.leaseTerm);
    if (!granted.ok) return granted;
    const written = await put(granted.value.id);
    if (!written.ok) return written;
    lease = granted.value.id;
    onWritten(written.value);
    return written;
  };

  const renew = async (): Promise<Result<unknown, StoreError>> => {
    if (lease === undefined) return failure({ kind: 'lease-not-found' });
    const renewed = await store.keepAlive(lease);
    if (!renewed.ok && renewed.error.kind === 'lease-not-found') lease = undefined;
    return renewed;
  };

  const run = async (): Promise<void> => {
    while (!isClosed) {
      const result = await (lease === undefined ? write() : renew());
      setReachable(result.ok || lease === undefined, result.ok ? undefined : result.error.kind);
      const isRewritten = !result.ok && result.error.kind === 'lease-not-found';
      const pause = result.ok ? directoryTimes.renewalInterval : directoryTimes.retryDelay;
      if (!isRewritten) await clock.sleep(pause);
    }
  };

  return {
    start: () => {
      void run();
    },
    deregister: async () => {
      isClosed = true;
      if (lease !== undefined) await store.revokeLease(lease);
    },
    close: () => {
      isClosed = true;
    },
  };
}
