import type { Outcome } from '@buckthornslip/common';

const rank: Readonly<Record<Outcome, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/**
 * Combines the outcomes of two attempts of one call.
 *
 * @param left - Outcome of one attempt.
 * @param right - Outcome of the other attempt.
 * @returns The combined outcome; "not-run" only if neither has run.
 * @internal
 */
export function combineOutcomes(left: Outcome, right: Outcome): Outcome {
  return rank[left] >= rank[right] ? left : right;
}
