import type { StoreCallCounts } from './StoreCallCounts';

/**
 * @returns Counts that start at zero.
 * @internal
 */
export function createStoreCallCounts(): StoreCallCounts {
  return { get: 0, list: 0, compareAndSwap: 0, remove: 0, watch: 0, lease: 0 };
}
