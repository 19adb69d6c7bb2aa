import { failure, success, type Clock, type Result } from '@buckthornslip/common';
import { Subject, takeUntil } from 'rxjs';

import { checkValueSize } from '../store/checkValueSize';
import { prefixRangeEnd } from '../store/prefixRangeEnd';
import type { Store } from '../store/Store';
import type { StoreEra } from '../store/StoreEra';
import type { StoreError } from '../store/StoreError';
import type { StoreLeaseId } from '../store/StoreLeaseId';
import type { StoreRevision } from '../store/StoreRevision';
import { createMemoryWatch } from './createMemoryWatch';
import { createStoreCallCounts } from './createStoreCallCounts';
import { createStoreEngine } from './createStoreEngine';
import { createStoreFaults } from './createStoreFaults';
import type { EngineMutation } from './EngineMutation';
import type { MemoryStore } from './MemoryStore';
import { runWithFaults } from './runWithFaults';
import type { StoreCallCounts } from './StoreCallCounts';
import type { StoreEngine } from './StoreEngine';

/** Default timeout of an operation, in milliseconds. */
const DEFAULT_TIMEOUT_MILLISECONDS = 1_000;

function isOfOtherEra(engine: StoreEngine, era: StoreEra | undefined): boolean {
  return era !== undefined && era !== engine.era();
}

function mutateIfUnchanged(
  engine: StoreEngine,
  expectedRevision: number,
  mutation: EngineMutation,
  era: StoreEra | undefined,
): Result<StoreRevision, StoreError> {
  if (isOfOtherEra(engine, era)) return failure({ kind: 'conflict', current: undefined });
  const current = engine.range(mutation.key)[0];
  if ((current?.revision ?? 0) !== expectedRevision) return failure({ kind: 'conflict', current });
  const leaseId = mutation.kind === 'put' ? mutation.leaseId : 0;
  if (leaseId !== 0 && !engine.hasLease(leaseId)) return failure({ kind: 'lease-not-found' });
  engine.apply([mutation]);
  return success(engine.revision() as StoreRevision);
}

/**
 * Creates an in-memory store with fault injection, for tests.
 *
 * @param options - The clock, and the timeout of an operation in milliseconds. An operation that timed out still
 *   takes effect later, as it may in a real store.
 * @returns The store.
 * @public
 */
export function createMemoryStore(options: {
  readonly clock: Clock;
  readonly timeoutMilliseconds?: number;
}): MemoryStore {
  const { clock, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS } = options;
  const engine = createStoreEngine(clock);
  const faults = createStoreFaults();
  const calls = createStoreCallCounts();
  const closed = new Subject<void>();

  const run = <Value>(
    kind: keyof StoreCallCounts,
    effect: () => Result<Value, StoreError>,
  ): Promise<Result<Value, StoreError>> => {
    calls[kind] += 1;
    const isWrite = kind === 'compareAndSwap' || kind === 'remove' || kind === 'lease';
    return runWithFaults({ clock, faults, timeoutMilliseconds, isWrite, effect });
  };

  const compareAndSwap: Store['compareAndSwap'] = async (key, expected, value, leaseId, era) => {
    const tooLarge = checkValueSize(value);
    if (tooLarge) return failure(tooLarge);
    return run('compareAndSwap', () =>
      mutateIfUnchanged(engine, expected, { kind: 'put', key, value, leaseId: leaseId ?? 0 }, era),
    );
  };

  const grantLease: Store['grantLease'] = (timeToLiveMilliseconds) =>
    run('lease', () => {
      const id = engine.nextLeaseId() as StoreLeaseId;
      engine.grantLease(id, timeToLiveMilliseconds);
      return success({ id, timeToLiveMilliseconds, era: engine.era() });
    });

  const keepAlive: Store['keepAlive'] = (leaseId, era) =>
    run('lease', () => {
      const remaining = isOfOtherEra(engine, era) ? undefined : engine.keepAlive(leaseId);
      return remaining === undefined ? failure({ kind: 'lease-not-found' }) : success(remaining);
    });

  const revokeLease: Store['revokeLease'] = (leaseId, era) =>
    run('lease', () =>
      !isOfOtherEra(engine, era) && engine.revokeLease(leaseId)
        ? success(undefined)
        : failure({ kind: 'lease-not-found' }),
    );

  return {
    faults,
    calls,
    compact: engine.compact,
    backUp: engine.backUp,
    restore: (backup) => {
      const wasDown = faults.isDown();
      faults.setDown(true);
      engine.restore(backup);
      faults.setDown(wasDown);
    },
    get: (key) => run('get', () => success(engine.range(key)[0])),
    list: (prefix) =>
      run('list', () => {
        const entries = engine.range(prefix, prefixRangeEnd(prefix));
        return success({
          entries,
          revision: engine.revision() as StoreRevision,
          era: engine.era(),
        });
      }),
    compareAndSwap,
    remove: (key, expected, era) =>
      run('remove', () => mutateIfUnchanged(engine, expected, { kind: 'remove', key }, era)),
    watch: (prefix, fromRevision, { fromEra } = {}) => {
      calls.watch += 1;
      return createMemoryWatch(engine, faults, prefix, fromRevision, fromEra).pipe(
        takeUntil(closed),
      );
    },
    grantLease,
    keepAlive,
    revokeLease,
    era: engine.era,
    close: () => closed.next(),
  };
}
