import type { TrackedMember } from '../members/TrackedMember';
import type { AttemptReport } from '../choice/AttemptReport';

type OutcomeHandler = (tracked: TrackedMember) => void;

/**
 * Weight of the newest answer in the moving average of errors. With 0.2, random variation led to ejections among
 * members that all failed half of their calls.
 */
const ERROR_SHARE_WEIGHT = 0.1;

function recordAnswer(tracked: TrackedMember, isError: boolean): void {
  const errorShare =
    tracked.errorShare + ERROR_SHARE_WEIGHT * (Number(isError) - tracked.errorShare);
  const errors = isError ? tracked.errors + 1 : 0;
  Object.assign(tracked, { errors, errorShare, failures: 0, timeouts: 0 });
}

/** Handlers update the member in place. Answers and refusals prove that the member responds. */
const outcomeHandlers: Readonly<Record<AttemptReport['outcome'], OutcomeHandler>> = {
  answered: (tracked) => {
    recordAnswer(tracked, false);
    Object.assign(tracked, { ejections: 0 });
  },
  errored: (tracked) => recordAnswer(tracked, true),
  refused: (tracked) => Object.assign(tracked, { failures: 0, timeouts: 0 }),
  failed: (tracked) => Object.assign(tracked, { failures: tracked.failures + 1 }),
  silent: (tracked) => Object.assign(tracked, { timeouts: tracked.timeouts + 1 }),
  cancelled: () => undefined,
};

/**
 * Updates the counts of consecutive failures, missing responses and error answers of a member.
 *
 * @param tracked - The member.
 * @param outcome - Outcome of an attempt.
 * @internal
 */
export function recordOutcome(tracked: TrackedMember, outcome: AttemptReport['outcome']): void {
  outcomeHandlers[outcome](tracked);
}
