import type { RefusalReason } from '@buckthornslip/common';

import type { ForwardResult } from './ForwardResult';

/** Refusals of a serving node whose upstream has too little room. Others show failures, stale states or limits of an account. */
const LACK_OF_ROOM: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'deadline-unreachable',
  'priority-cutoff',
  'queue-full',
  'queue-timeout',
]);

/**
 * @param result - Result of a nested call that failed.
 * @returns Whether it, or a call below it, was refused for lack of room.
 * @internal
 */
export function isRefusedForRoom({ answer, isNestedRefused }: ForwardResult): boolean {
  return isNestedRefused === true || (answer.kind === 'refusal' && LACK_OF_ROOM.has(answer.reason));
}
