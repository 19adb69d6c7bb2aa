import { failure, success } from '@buckthornslip/common';
import type { Clock, RandomSource, Result } from '@buckthornslip/common';
import type { SplitStore, SplitStoreError } from '@buckthornslip/limits';

import type { SimulatedProcess } from './createProcess';
import type { Faults } from './Faults';

const OPERATION_MILLISECONDS = 2;

/** Maximum time after which a write whose response was lost takes effect, in milliseconds. */
const LATE_EFFECT_MILLISECONDS = 2_000;

const TIMEOUT_MILLISECONDS = 100;

interface Entry {
  readonly value: string;
  readonly revision: number;
}

/** Model of the part of the platform's store that split records use. */
export interface SplitStoreModel {
  readonly storeOf: (process: SimulatedProcess) => SplitStore;
  readonly writes: () => number;
}

/** Creates an empty store. */
export function createSplitStoreModel(
  clock: Clock,
  random: RandomSource,
  faults: Faults,
): SplitStoreModel {
  const entries = new Map<string, Entry>();
  let revision = 0;
  let writes = 0;

  const applySwap = (
    key: string,
    expected: number,
    value: string,
  ): Result<number, SplitStoreError> => {
    if ((entries.get(key)?.revision ?? 0) !== expected) return failure({ kind: 'conflict' });
    revision += 1;
    writes += 1;
    entries.set(key, { value, revision });
    return success(revision);
  };

  const respondAfter = <Value>(
    process: SimulatedProcess,
    milliseconds: number,
    action: () => Value,
  ): Promise<Value> =>
    new Promise((resolve) => {
      clock.setTimer(milliseconds, () => {
        const value = action();
        process.deliver(() => resolve(value));
      });
    });

  const failWrite = (
    process: SimulatedProcess,
    effect: () => void,
  ): ReturnType<SplitStore['compareAndSwap']> => {
    const chance = random.next();
    if (chance < 0.3) effect();
    else if (chance < 0.7) clock.setTimer(random.next() * LATE_EFFECT_MILLISECONDS, effect);
    const kind = random.next() < 0.5 ? ('timeout' as const) : ('unavailable' as const);
    return respondAfter(process, TIMEOUT_MILLISECONDS, () => failure({ kind }));
  };

  const storeOf = (process: SimulatedProcess): SplitStore => ({
    get: (key) =>
      random.next() < faults.storeFailures
        ? respondAfter(process, TIMEOUT_MILLISECONDS, () => failure({ kind: 'timeout' as const }))
        : respondAfter(process, OPERATION_MILLISECONDS, () => success(entries.get(key))),
    compareAndSwap: (key, expected, value) =>
      random.next() < faults.storeFailures
        ? failWrite(process, () => {
            applySwap(key, expected, value);
          })
        : respondAfter(process, OPERATION_MILLISECONDS, () => applySwap(key, expected, value)),
  });

  return { storeOf, writes: () => writes };
}
