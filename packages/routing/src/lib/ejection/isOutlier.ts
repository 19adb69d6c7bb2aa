import type { TrackedMember } from '../members/TrackedMember';
import type { RouterSettings } from '../choice/RouterSettings';

function meanErrorShare(members: readonly TrackedMember[]): number {
  if (members.length === 0) return 0;
  const sum = members.reduce((total, { errorShare }) => total + errorShare, 0);
  return sum / members.length;
}

/**
 * Error answers count only if the other members have far fewer of them. When a service that all members call is in trouble,
 * all of them answer with failures, and an ejection would take healthy ones out of use.
 *
 * @param tracked - The member.
 * @param others - The other members that are in use.
 * @param settings - Numbers of failures and silences that lead to an ejection.
 * @returns Whether the member should be ejected.
 * @internal
 */
export function isOutlier(
  tracked: TrackedMember,
  others: () => readonly TrackedMember[],
  settings: RouterSettings,
): boolean {
  const { ejectionErrorMargin, ejectionFailureThreshold, ejectionSilenceThreshold } = settings;
  if (tracked.failures >= ejectionFailureThreshold || tracked.silences >= ejectionSilenceThreshold)
    return true;
  if (tracked.errors < ejectionFailureThreshold) return false;
  return tracked.errorShare - meanErrorShare(others()) > ejectionErrorMargin;
}
