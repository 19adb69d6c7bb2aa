import type { Clock } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { ContactStore } from './ContactStore';

/**
 * An in-memory contact store for tests and benchmarks.
 *
 * @public
 */
export interface MemoryContactStore extends ContactStore {
  /** Makes all calls fail, or succeed again. Leases still expire in the meantime. */
  readonly setDown: (isDown: boolean) => void;
  /** @returns Number of calls so far. */
  readonly callCount: () => number;
}

/**
 * @param clock - Source of time for the leases.
 * @returns An empty store.
 * @public
 */
export function createMemoryContactStore(clock: Clock): MemoryContactStore {
  const entries = new Map<
    string,
    { value: string; timeToLiveMilliseconds: number; endsAt: number }
  >();
  let isDown = false;
  let calls = 0;

  const answer = <Value>(value: Value) => {
    calls += 1;
    return Promise.resolve(isDown ? failure({ kind: 'unavailable' } as const) : success(value));
  };
  const isCurrent = ({ endsAt }: { readonly endsAt: number }): boolean =>
    endsAt > clock.monotonicMilliseconds();

  return {
    setDown: (down) => {
      isDown = down;
    },
    callCount: () => calls,
    list: (prefix) => {
      const found = [...entries].filter(
        ([key, entry]) => key.startsWith(prefix) && isCurrent(entry),
      );
      return answer(found.map(([, entry]) => entry.value));
    },
    putUnderLease: (key, value, timeToLiveMilliseconds) => {
      const endsAt = clock.monotonicMilliseconds() + timeToLiveMilliseconds;
      if (!isDown) entries.set(key, { value, timeToLiveMilliseconds, endsAt });
      return answer(key);
    },
    keepAlive: (leaseId) => {
      const entry = entries.get(leaseId);
      if (!entry || isDown || !isCurrent(entry)) {
        calls += 1;
        return Promise.resolve(failure({ kind: isDown ? 'unavailable' : 'lease-ended' } as const));
      }
      entries.set(leaseId, {
        ...entry,
        endsAt: clock.monotonicMilliseconds() + entry.timeToLiveMilliseconds,
      });
      return answer(undefined);
    },
  };
}
