import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { SplitStore, SplitStoreError } from '@buckthornslip/limits';
import type { Store, StoreError } from '@buckthornslip/platform';

/** Store errors that have their own kind for split records; all others are reported as "unavailable". */
const errorKinds: Readonly<Partial<Record<StoreError['kind'], SplitStoreError['kind']>>> = {
  conflict: 'conflict',
  timeout: 'timeout',
};

function toSplitError(error: StoreError): Result<never, SplitStoreError> {
  return failure({ kind: errorKinds[error.kind] ?? 'unavailable' });
}

/**
 * Adapts the platform's store to the interface that the split records of account limits use.
 *
 * @param store - The platform's store.
 * @returns The adapted store.
 * @internal
 */
export function toSplitStore(store: Store): SplitStore {
  return {
    get: async (key) => {
      const entry = await store.get(key);
      if (!entry.ok) return toSplitError(entry.error);
      if (!entry.value) return success(undefined);
      const { value, revision } = entry.value;
      return success({ value: Buffer.from(value).toString('utf8'), revision });
    },
    compareAndSwap: async (key, expectedRevision, value) => {
      const result = await store.compareAndSwap(key, expectedRevision, Buffer.from(value));
      return result.ok ? result : toSplitError(result.error);
    },
  };
}
