import type { Candidate } from '../candidates/Candidate';
import type { AttemptReport } from '../choice/AttemptReport';

type Counter = (candidate: Candidate) => void;

/** Weight of the newest answer in the moving share of failures: with 0.2, chance ejected members that all fail half. */
const NEWEST_WEIGHT = 0.1;

function noteAnswer(candidate: Candidate, isError: boolean): void {
  const errorShare =
    candidate.errorShare + NEWEST_WEIGHT * (Number(isError) - candidate.errorShare);
  const errors = isError ? candidate.errors + 1 : 0;
  Object.assign(candidate, { errors, errorShare, failures: 0, silences: 0 });
}

/** Outcomes count in place. Answers and refusals prove that the member responds. */
const counters: Readonly<Record<AttemptReport['outcome'], Counter>> = {
  answered: (candidate) => {
    noteAnswer(candidate, false);
    Object.assign(candidate, { ejections: 0 });
  },
  errored: (candidate) => noteAnswer(candidate, true),
  refused: (candidate) => Object.assign(candidate, { failures: 0, silences: 0 }),
  failed: (candidate) => Object.assign(candidate, { failures: candidate.failures + 1 }),
  silent: (candidate) => Object.assign(candidate, { silences: candidate.silences + 1 }),
  cancelled: () => undefined,
};

/**
 * Counts consecutive failures, silences and error answers of a member.
 *
 * @param candidate - The member.
 * @param outcome - Outcome of an attempt.
 * @internal
 */
export function countOutcome(candidate: Candidate, outcome: AttemptReport['outcome']): void {
  counters[outcome](candidate);
}
