import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';

/**
 * Estimates the calls running and queued at a member: its last report, corrected by the attempts of this node that
 * started or ended since. If the report is too old, only the attempts of this node count.
 *
 * @param tracked - The member.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Holds the maximum age of a load report.
 * @returns Number of calls.
 * @internal
 */
export function memberLoad(tracked: TrackedMember, now: number, settings: RouterSettings): number {
  const { load, inFlight } = tracked;
  if (!load || now - tracked.loadAt > settings.loadReportMaxAgeMilliseconds) return inFlight;
  const reported = load.running + load.queued;
  return Math.max(inFlight, reported + inFlight - tracked.inFlightAtReport);
}
