import type { Refusal } from '@buckthornslip/calls';
import type { HostId, Outcome } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { UpstreamAnswer } from '../serving/ServedAnswer';
import type { ForwardResult } from './ForwardResult';

/**
 * What is known of one call over its attempts.
 *
 * @internal
 */
export interface CallProgress {
  readonly excludedHosts: Set<HostId>;
  /** @returns Nodes to which the call was sent. */
  readonly nodes: () => number;
  /** @returns Attempts that may have reached an upstream. */
  readonly offers: () => number;
  /** @returns What is known of the call's work so far. */
  readonly outcome: () => Outcome;
  /** Notes an attempt that ended without a good answer. */
  readonly note: (answer: UpstreamAnswer | Refusal, member: Member) => void;
  /** @returns The first failure of an upstream if there was one, otherwise the refusal. */
  readonly finish: (refusal: Refusal, member?: Member) => ForwardResult;
  /** Gives up the failure that was kept. */
  readonly dropFailure: () => void;
}

/** An attempt that was refused before any upstream could see it is no arrival there. */
function wasOffered(answer: UpstreamAnswer | Refusal): boolean {
  if (answer.kind === 'answer' || answer.outcome !== 'not-run') return true;
  return answer.reason === 'upstream-shed';
}

/**
 * @returns The progress of a call before its first attempt.
 * @internal
 */
export function createCallProgress(): CallProgress {
  let nodes = 0;
  let offers = 0;
  let outcome: Outcome = 'not-run';
  let failed: { readonly answer: UpstreamAnswer; readonly host: HostId } | undefined;
  return {
    excludedHosts: new Set(),
    nodes: () => nodes,
    offers: () => offers,
    outcome: () => outcome,
    note: (answer, member) => {
      nodes += 1;
      if (wasOffered(answer)) offers += 1;
      if (answer.kind === 'answer') {
        outcome = 'ran';
        failed ??= { answer, host: member.host };
      } else if (answer.outcome !== 'not-run' && outcome === 'not-run') outcome = answer.outcome;
    },
    finish: (refusal, member) => {
      if (failed) return { answer: failed.answer, attempts: nodes, host: failed.host };
      return { answer: { ...refusal, outcome }, attempts: nodes, host: member?.host };
    },
    dropFailure: () => failed?.answer.rest?.destroy(),
  };
}
