import type { Candidate } from '../candidates/Candidate';
import type { RouterSettings } from '../choice/RouterSettings';

function meanErrorShare(candidates: readonly Candidate[]): number {
  if (candidates.length === 0) return 0;
  const sum = candidates.reduce((total, { errorShare }) => total + errorShare, 0);
  return sum / candidates.length;
}

/**
 * Error answers count only if the other members have far fewer of them. When a service that all members call is in trouble,
 * all of them answer with failures, and an ejection would take healthy ones out of use.
 *
 * @param candidate - The member.
 * @param others - The other members that are in use.
 * @param settings - Numbers of failures and silences that lead to an ejection.
 * @returns Whether the member should be ejected.
 * @internal
 */
export function isOutlier(
  candidate: Candidate,
  others: () => readonly Candidate[],
  settings: RouterSettings,
): boolean {
  const { ejectionErrorMargin, ejectionFailures, ejectionSilences } = settings;
  if (candidate.failures >= ejectionFailures || candidate.silences >= ejectionSilences) return true;
  if (candidate.errors < ejectionFailures) return false;
  return candidate.errorShare - meanErrorShare(others()) > ejectionErrorMargin;
}
