import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';

/**
 * @param tracked - The member.
 * @param rank - Priority rank of the call.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Age up to which a cut-off counts.
 * @returns Whether the member said lately that it refuses calls of this rank.
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
