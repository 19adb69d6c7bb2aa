import type { Refusal } from '@buckthornslip/calls';
import type { HostId, Outcome } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { AttemptResult, UpstreamResponse } from '../serving/AttemptResult';
import type { ForwardResult } from './ForwardResult';

/**
 * State of one call across its attempts.
 *
 * @internal
 */
export interface CallProgress {
  readonly excludedHosts: Set<HostId>;
  /** @returns Attempts made, each at another node. */
  readonly attempts: () => number;
  /** @returns Attempts that may have reached an upstream. */
  readonly upstreamAttempts: () => number;
  /** @returns Whether the call has run, as far as the attempts show. */
  readonly outcome: () => Outcome;
  /** Records an attempt that ended in a refusal or a server error. */
  readonly recordAttempt: (result: AttemptResult, member: Member) => void;
  /** @returns The first error response of an upstream if there was one, otherwise the refusal. */
  readonly finish: (refusal: Refusal, member?: Member) => ForwardResult;
  /** Discards the recorded error response and closes its body. */
  readonly discardFailure: () => void;
}

/** An attempt refused before it reached an upstream adds no load there. */
function mayHaveReachedUpstream(answer: UpstreamResponse | Refusal): boolean {
  if (answer.kind === 'answer' || answer.outcome !== 'not-run') return true;
  return answer.reason === 'upstream-shed';
}

/**
 * @returns The state of a call before its first attempt.
 * @internal
 */
export function createCallProgress(): CallProgress {
  let attempts = 0;
  let upstreamAttempts = 0;
  let outcome: Outcome = 'not-run';
  let isShed = false;
  let isNestedRefused = false;
  let firstFailure: { readonly answer: UpstreamResponse; readonly host: HostId } | undefined;
  return {
    excludedHosts: new Set(),
    attempts: () => attempts,
    upstreamAttempts: () => upstreamAttempts,
    outcome: () => outcome,
    recordAttempt: ({ answer, ...result }, member) => {
      attempts += 1;
      isShed ||= result.isShed ?? false;
      isNestedRefused ||= result.isNestedRefused ?? false;
      if (mayHaveReachedUpstream(answer)) upstreamAttempts += 1;
      if (answer.kind === 'answer') {
        outcome = 'ran';
        firstFailure ??= { answer, host: member.host };
      } else if (answer.outcome !== 'not-run' && outcome === 'not-run') outcome = answer.outcome;
    },
    finish: (refusal, member) => {
      if (firstFailure) return { ...firstFailure, attempts, isShed, isNestedRefused };
      return {
        answer: { ...refusal, outcome },
        attempts,
        host: member?.host,
        isShed,
        isNestedRefused,
      };
    },
    discardFailure: () => firstFailure?.answer.rest?.destroy(),
  };
}
