import { failure, success } from '@buckthornslip/common';
import type { ContactStore } from '@buckthornslip/membership';
import type { Store, StoreError, StoreLeaseId } from '@buckthornslip/platform';

/** Attempts to replace a record that another incarnation of this host wrote. */
const WRITE_ATTEMPTS = 3;

function toContactError(error: StoreError): { readonly kind: 'unavailable' | 'lease-ended' } {
  return { kind: error.kind === 'lease-not-found' ? 'lease-ended' : 'unavailable' };
}

/**
 * Adapts the platform's store to the interface that zone contacts use.
 *
 * @param store - The platform's store.
 * @returns The adapted store.
 * @internal
 */
export function toContactStore(store: Store): ContactStore {
  const write = async (key: string, value: Buffer, leaseId: StoreLeaseId): Promise<boolean> => {
    let expectedRevision = 0;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
      const result = await store.compareAndSwap(key, expectedRevision, value, leaseId);
      if (result.ok) return true;
      if (result.error.kind !== 'conflict') return false;
      expectedRevision = result.error.current?.revision ?? 0;
    }
    return false;
  };

  return {
    list: async (prefix) => {
      const listing = await store.list(prefix);
      if (!listing.ok) return failure(toContactError(listing.error));
      return success(listing.value.entries.map(({ value }) => Buffer.from(value).toString('utf8')));
    },
    putUnderLease: async (key, value, timeToLiveMilliseconds) => {
      const lease = await store.grantLease(timeToLiveMilliseconds);
      if (!lease.ok) return failure(toContactError(lease.error));
      const { id } = lease.value;
      const isWritten = await write(key, Buffer.from(value), id);
      if (!isWritten) return failure({ kind: 'unavailable' });
      return success(String(id));
    },
    keepAlive: async (leaseId) => {
      const result = await store.keepAlive(Number(leaseId) as StoreLeaseId);
      return result.ok ? success(undefined) : failure(toContactError(result.error));
    },
  };
}
