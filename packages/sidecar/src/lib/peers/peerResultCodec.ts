import type { Refusal } from '@buckthornslip/calls';
import type { Outcome, RefusalReason } from '@buckthornslip/common';
import { refusalCatalogue } from '@buckthornslip/common';

/** Value of the header on an answer of an upstream. */
export const ANSWERED = 'answered';

const OUTCOMES: ReadonlySet<string> = new Set<Outcome>(['not-run', 'may-have-run', 'ran']);

/**
 * @param refusal - Why an attempt has no answer of the upstream.
 * @returns Value of the result header.
 * @internal
 */
export function encodeRefusal(refusal: Refusal): string {
  return `${refusal.reason},${refusal.outcome},${refusal.retryAfterMilliseconds ?? ''}`;
}

/**
 * @param text - Value of the result header.
 * @returns The refusal, or undefined if the value is missing or malformed.
 * @internal
 */
export function decodeRefusal(text: string | undefined): Refusal | undefined {
  const [reason, outcome, retryAfter] = (text ?? '').split(',');
  if (reason === undefined || !(reason in refusalCatalogue)) return undefined;
  if (outcome === undefined || !OUTCOMES.has(outcome)) return undefined;
  const refusal: Refusal = {
    kind: 'refusal',
    reason: reason as RefusalReason,
    outcome: outcome as Outcome,
  };
  if (!retryAfter) return refusal;
  return { ...refusal, retryAfterMilliseconds: Number(retryAfter) };
}
