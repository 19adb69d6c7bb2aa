import type { Clock } from '@buckthornslip/common';
import { uuidTimeMilliseconds } from '@buckthornslip/common';

import type { Binding } from './Binding';
import type { BindingTable } from './BindingTable';
import { callerKeyOf } from './callerKeyOf';
import { KEY_RETENTION_MILLISECONDS } from './KEY_RETENTION_MILLISECONDS';

/** Maximum number of bindings of one partition. */
const MAXIMUM_BINDINGS = 100_000;

function isNewer(candidate: Binding, known: Binding): boolean {
  if (candidate.epoch !== known.epoch) return candidate.epoch > known.epoch;
  return candidate.version > known.version;
}

/**
 * Creates the table of one partition.
 *
 * @param clock - Source of wall-clock time.
 * @param maximumBindings - Maximum number of bindings.
 * @returns An empty table in which no key is unknown.
 * @internal
 */
export function createBindingTable(clock: Clock, maximumBindings = MAXIMUM_BINDINGS): BindingTable {
  // Ordered by the time of the first binding, oldest first.
  const bindings = new Map<string, Binding>();
  let createdUpToMilliseconds = 0;
  let untilMilliseconds = 0;

  const dropExpired = (): void => {
    const oldestKept = clock.wallMilliseconds() - KEY_RETENTION_MILLISECONDS;
    for (const [key, binding] of bindings) {
      if (binding.boundAtMilliseconds >= oldestKept) return;
      bindings.delete(key);
    }
  };

  // A removed UUIDv7 key is recognized by its age when it is used again. Other keys must not be evicted.
  const evictOldest = (): boolean => {
    for (const key of bindings.keys()) {
      const createdMilliseconds = uuidTimeMilliseconds(callerKeyOf(key));
      if (createdMilliseconds !== undefined) {
        bindings.delete(key);
        createdUpToMilliseconds = Math.max(createdUpToMilliseconds, createdMilliseconds);
        return true;
      }
    }
    return false;
  };

  return {
    find: (scopedKey) => bindings.get(scopedKey),
    store: (binding) => {
      const known = bindings.get(binding.scopedKey);
      if (known) {
        if (isNewer(binding, known)) bindings.set(binding.scopedKey, binding);
        return true;
      }
      dropExpired();
      if (bindings.size >= maximumBindings && !evictOldest()) return false;
      bindings.set(binding.scopedKey, binding);
      return true;
    },
    isUnknown: (scopedKey) => {
      const createdMilliseconds = uuidTimeMilliseconds(callerKeyOf(scopedKey));
      if (createdMilliseconds !== undefined) return createdMilliseconds <= createdUpToMilliseconds;
      return clock.wallMilliseconds() < untilMilliseconds;
    },
    unknownRange: () => ({ createdUpToMilliseconds, untilMilliseconds }),
    widenUnknownRange: (range) => {
      createdUpToMilliseconds = Math.max(createdUpToMilliseconds, range.createdUpToMilliseconds);
      untilMilliseconds = Math.max(untilMilliseconds, range.untilMilliseconds);
    },
    all: () => [...bindings.values()],
  };
}
