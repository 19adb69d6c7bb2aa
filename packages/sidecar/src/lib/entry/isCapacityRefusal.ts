import type { RefusalReason } from '@buckthornslip/common';

import type { ForwardResult } from './ForwardResult';

/** Refusals of a serving node whose upstream has too little capacity. Others show failures, stale states or limits of an account. */
const LACK_OF_CAPACITY: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'deadline-unreachable',
  'priority-cutoff',
  'queue-full',
  'queue-timeout',
]);

/**
 * @param result - Result of a nested call that failed.
 * @returns Whether it, or a call below it, was refused for lack of capacity.
 * @internal
 */
export function isCapacityRefusal({ answer, isNestedRefused }: ForwardResult): boolean {
  return (
    isNestedRefused === true || (answer.kind === 'refusal' && LACK_OF_CAPACITY.has(answer.reason))
  );
}
