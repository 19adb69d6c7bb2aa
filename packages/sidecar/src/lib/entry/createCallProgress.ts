import type { Refusal } from '@buckthornslip/calls';
import type { HostId, Outcome } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { UpstreamResponse } from '../serving/AttemptResult';
import type { ForwardResult } from './ForwardResult';

/**
 * What is known of one call over its attempts.
 *
 * @internal
 */
export interface CallProgress {
  readonly excludedHosts: Set<HostId>;
  /** @returns Nodes to which the call was sent. */
  readonly attempts: () => number;
  /** @returns Attempts that may have reached an upstream. */
  readonly upstreamAttempts: () => number;
  /** @returns What is known of the call's work so far. */
  readonly outcome: () => Outcome;
  /** Notes an attempt that ended without a good answer. */
  readonly recordAttempt: (answer: UpstreamResponse | Refusal, member: Member) => void;
  /** @returns The first failure of an upstream if there was one, otherwise the refusal. */
  readonly finish: (refusal: Refusal, member?: Member) => ForwardResult;
  /** Gives up the failure that was kept. */
  readonly discardFailure: () => void;
}

/** An attempt that was refused before any upstream could see it is no arrival there. */
function mayHaveReachedUpstream(answer: UpstreamResponse | Refusal): boolean {
  if (answer.kind === 'answer' || answer.outcome !== 'not-run') return true;
  return answer.reason === 'upstream-shed';
}

/**
 * @returns The progress of a call before its first attempt.
 * @internal
 */
export function createCallProgress(): CallProgress {
  let attempts = 0;
  let upstreamAttempts = 0;
  let outcome: Outcome = 'not-run';
  let firstFailure: { readonly answer: UpstreamResponse; readonly host: HostId } | undefined;
  return {
    excludedHosts: new Set(),
    attempts: () => attempts,
    upstreamAttempts: () => upstreamAttempts,
    outcome: () => outcome,
    recordAttempt: (answer, member) => {
      attempts += 1;
      if (mayHaveReachedUpstream(answer)) upstreamAttempts += 1;
      if (answer.kind === 'answer') {
        outcome = 'ran';
        firstFailure ??= { answer, host: member.host };
      } else if (answer.outcome !== 'not-run' && outcome === 'not-run') outcome = answer.outcome;
    },
    finish: (refusal, member) => {
      if (firstFailure) return { answer: firstFailure.answer, attempts, host: firstFailure.host };
      return { answer: { ...refusal, outcome }, attempts, host: member?.host };
    },
    discardFailure: () => firstFailure?.answer.rest?.destroy(),
  };
}
