import type { RefusalReason } from '@buckthornslip/common';

/** Reasons that may not apply at another serving node or at a later time. */
const retried: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'priority-cutoff',
  'queue-full',
  'queue-timeout',
  'no-upstream',
  'upstream-draining',
  'upstream-shed',
  'upstream-failed',
  'upstream-silent',
  'peer-unreachable',
  'node-stopping',
  'zone-evacuated',
]);

/**
 * @param reason - Reason of a refusal.
 * @returns Whether another attempt may succeed. The retry policy decides whether it is made.
 * @internal
 */
export function isRetriedReason(reason: RefusalReason): boolean {
  return retried.has(reason);
}
