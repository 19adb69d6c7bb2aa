import type { TrackedMember } from '../members/TrackedMember';
import type { RouterSettings } from '../choice/RouterSettings';

function meanErrorShare(members: readonly TrackedMember[]): number {
  if (members.length === 0) return 0;
  const sum = members.reduce((total, { errorShare }) => total + errorShare, 0);
  return sum / members.length;
}

/**
 * Tells whether a member should be ejected. Error answers count only if the other members have far fewer of them: when
 * a service that all members call fails, all of them answer with errors, and an ejection would remove healthy members.
 *
 * @param tracked - The member.
 * @param others - Returns the other members that may be chosen.
 * @param settings - Thresholds of the ejection.
 * @returns Whether the member should be ejected.
 * @internal
 */
export function isOutlier(
  tracked: TrackedMember,
  others: () => readonly TrackedMember[],
  settings: RouterSettings,
): boolean {
  const { ejectionErrorMargin, ejectionFailureThreshold, ejectionTimeoutThreshold } = settings;
  if (tracked.failures >= ejectionFailureThreshold || tracked.timeouts >= ejectionTimeoutThreshold)
    return true;
  if (tracked.errors < ejectionFailureThreshold) return false;
  return tracked.errorShare - meanErrorShare(others()) > ejectionErrorMargin;
}
