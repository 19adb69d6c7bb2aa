import type { IdempotencyRegistryClient } from '@buckthornslip/calls';
import { failure, success } from '@buckthornslip/common';

import type { SharedFleetState } from './SharedFleetState';

/**
 * @param fleet - Shared state that holds the bindings of all idempotency keys.
 * @returns An idempotency registry client that reads and writes the shared state.
 * @internal
 */
export function createFakeIdempotencyRegistryClient(
  fleet: SharedFleetState,
): IdempotencyRegistryClient {
  const { bindings } = fleet;
  return {
    claim: async ({ attemptId, requestDigest, scopedKey, service, servingNode }) => {
      const key = `${service} ${scopedKey}`;
      const bound = bindings.get(key);
      if (bound === undefined) {
        bindings.set(key, { digest: requestDigest, attemptId, servingNode });
        return success({ attemptId, servingNode, existing: false });
      }
      if (bound.digest !== requestDigest) return failure({ kind: 'idempotency-key-reused' });
      return success({ ...bound, existing: true });
    },
    release: async (service, scopedKey, attemptId) => {
      const key = `${service} ${scopedKey}`;
      if (bindings.get(key)?.attemptId === attemptId) bindings.delete(key);
    },
  };
}
