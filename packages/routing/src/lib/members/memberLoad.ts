import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';

/**
 * Calls running and queued at a member: its last report, corrected by the own attempts that were
 * started or ended since. The own attempts alone count when the report is too old.
 *
 * @param tracked - The member.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Age up to which a report counts.
 * @returns Number of calls.
 * @internal
 */
export function memberLoad(tracked: TrackedMember, now: number, settings: RouterSettings): number {
  const { load, inFlight } = tracked;
  if (!load || now - tracked.loadAt > settings.loadReportMaxAgeMilliseconds) return inFlight;
  const reported = load.running + load.queued;
  return Math.max(inFlight, reported + inFlight - tracked.inFlightAtReport);
}
