import type { Outcome, RefusalReason } from '@buckthornslip/common';

import type { Refusal } from './Refusal';

/**
 * @param reason - Reason code from the refusal catalogue.
 * @param outcome - What is known about the execution of the call; "not-run" only if that is proven.
 * @returns The refusal.
 * @internal
 */
export function refuse(reason: RefusalReason, outcome: Outcome = 'not-run'): Refusal {
  return { kind: 'refusal', reason, outcome };
}
