import { status } from '@grpc/grpc-js';
import { etcdProtocol } from '@buckthornslip/wire';

import type { StoreEngine } from '../memory/StoreEngine';
import { serviceError } from './serviceError';

const comparisons: Readonly<Record<number, (actual: number, expected: number) => boolean>> = {
  [etcdProtocol.Compare_CompareResult.EQUAL]: (actual, expected) => actual === expected,
  [etcdProtocol.Compare_CompareResult.GREATER]: (actual, expected) => actual > expected,
  [etcdProtocol.Compare_CompareResult.LESS]: (actual, expected) => actual < expected,
  [etcdProtocol.Compare_CompareResult.NOT_EQUAL]: (actual, expected) => actual !== expected,
};

/**
 * Evaluates one condition of an etcd transaction.
 *
 * @param engine - Engine with the current entries.
 * @param compare - Condition on the version, the create revision or the modification revision of a key.
 * @returns Whether the condition holds; an absent key has the value 0.
 * @internal
 */
export function evaluateCompare(engine: StoreEngine, compare: etcdProtocol.Compare): boolean {
  const entry = engine.range(compare.key.toString())[0];
  const targets: Readonly<Record<number, number>> = {
    [etcdProtocol.Compare_CompareTarget.VERSION]: entry?.version ?? 0,
    [etcdProtocol.Compare_CompareTarget.CREATE]: entry?.createRevision ?? 0,
    [etcdProtocol.Compare_CompareTarget.MOD]: entry?.revision ?? 0,
  };
  const actual = targets[compare.target];
  const comparison = comparisons[compare.result];
  if (actual === undefined || !comparison) {
    throw serviceError(status.UNIMPLEMENTED, 'this kind of comparison is not supported');
  }
  return comparison(actual, compare.targetUnion?.value ?? 0);
}
