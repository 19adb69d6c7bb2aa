import type { RouterSettings } from '../choice/RouterSettings';
import type { TrackedMember } from './TrackedMember';

/**
 * Estimates the remaining work of a member: its last report, corrected by the attempts of this node that started or
 * ended since. If the report is too old, only the attempts of this node count.
 *
 * @param tracked - The member.
 * @param now - Monotonic time, in milliseconds.
 * @param settings - Holds the maximum age of a load report.
 * @returns Work in milliseconds at speed 1.
 * @internal
 */
export function memberWork(tracked: TrackedMember, now: number, settings: RouterSettings): number {
  const { load, workInFlight } = tracked;
  const reported = load?.workMilliseconds;
  if (reported === undefined) return workInFlight;
  if (now - tracked.loadAt > settings.loadReportMaxAgeMilliseconds) return workInFlight;
  return Math.max(0, reported + workInFlight - tracked.workInFlightAtReport);
}
