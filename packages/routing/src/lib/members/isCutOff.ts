import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';

/**
 * @param tracked - The member.
 * @param rank - Priority rank of the call.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Holds the maximum age of a reported cutoff.
 * @returns Whether a recent load report says that the member refuses calls of this rank.
 * @internal
 */
export function isCutOff(
  tracked: TrackedMember,
  rank: number,
  now: number,
  settings: RouterSettings,
): boolean {
  const { load } = tracked;
  if (!load || rank < load.cutoffRank) return false;
  return now - tracked.loadAt <= settings.cutoffMaxAgeMilliseconds;
}
